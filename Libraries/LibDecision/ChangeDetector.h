#pragma once

#include "LibDecision/SequentialTest.h"

#include <array>
#include <cstdint>

namespace fennelline {

struct ChangeDetectorPlan {
  /// The version is good with at most this rate of bad clusters.
  double m_goodRate = 0.02;
  /// With a good version, at least this many clusters pass on average until a false alarm.
  double m_clustersPerFalseAlarm = 1'000'000.0;
};

/// Finds that a version that serves all traffic has turned bad, at an unknown moment. It sums the
/// evidence over all possible moments of the change (a Shiryaev-Roberts e-detector, averaged over
/// kBadRateMultiples), so evidence gathered while the version was good does not hide the change.
class ChangeDetector {
public:
  explicit ChangeDetector(ChangeDetectorPlan aPlan)
    : m_plan(aPlan) {}

  /// Adds new clusters and how many of them were bad, at any batch size.
  void Add(std::int64_t aClusters, std::int64_t aBad);
  /// Whether the version has turned bad. Stays true once it is.
  bool HasChanged() const { return m_changed; }
  /// The evidence, compared with m_clustersPerFalseAlarm.
  double Evidence() const;

private:
  void AddOne(bool aBad);

  ChangeDetectorPlan m_plan;
  std::array<double, kBadRateMultiples.size()> m_sums{};
  bool m_changed = false;
};

} // namespace fennelline

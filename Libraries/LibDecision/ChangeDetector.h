#pragma once

#include "LibDecision/SequentialTest.h"

#include <array>
#include <cstdint>

namespace fennelline {

struct ChangeDetectorPlan {
  /// The version is good if its rate of bad clusters is at most this.
  double m_goodRate = 0.02;
  /// Minimum mean number of clusters between false alarms while the version is good.
  double m_clustersPerFalseAlarm = 1'000'000.0;
};

/// Detects that a version that serves all traffic has turned bad at an unknown time. It sums the
/// evidence over all possible times of the change (a Shiryaev-Roberts e-detector, averaged over
/// kBadRateMultiples), so that evidence gathered while the version was good does not hide the
/// change.
class ChangeDetector {
public:
  explicit ChangeDetector(ChangeDetectorPlan aPlan)
    : m_plan(aPlan) {}

  /// Adds new clusters and the number of bad ones among them, in batches of any size.
  void Add(std::int64_t aClusters, std::int64_t aBad);
  /// Whether the version has turned bad. Once true, it stays true.
  bool HasChanged() const { return m_changed; }
  /// The evidence of a change, to be compared with m_clustersPerFalseAlarm.
  double Evidence() const;

private:
  void AddOne(bool aBad);

  ChangeDetectorPlan m_plan;
  std::array<double, kBadRateMultiples.size()> m_sums{};
  bool m_changed = false;
};

} // namespace fennelline

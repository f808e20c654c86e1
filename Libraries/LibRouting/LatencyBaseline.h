#pragma once

#include "LibBase/Time.h"

#include <map>
#include <string>

namespace fennelline {

/// Tracks the usual time of answers, or between events of streams, by kind of request, to detect
/// those that are several times slower.
class LatencyBaseline {
public:
  void Learn(const std::string& aKind, Duration aTime);
  /// Whether there are enough samples to compare with.
  bool Knows(const std::string& aKind) const;
  /// Returns false until there are enough samples.
  bool IsSlow(const std::string& aKind, Duration aTime) const;
  /// Whether it is clearly above the mean, as about one in five is. Returns false until there are
  /// enough samples.
  bool IsAboveMean(const std::string& aKind, Duration aTime) const;

private:
  struct Baseline {
    double m_logMean = 0.0;
    double m_logDeviation = 0.0;
    int m_count = 0;
  };
  bool IsBeyond(const std::string& aKind, Duration aTime, double aFactor, double aDeviations) const;

  std::map<std::string, Baseline> m_kinds;
};

} // namespace fennelline

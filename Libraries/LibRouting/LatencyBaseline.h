#pragma once

#include "LibBase/Time.h"

#include <map>
#include <string>

namespace fennelline {

/// Tracks the usual time to the first byte of an answer, by kind of request, to detect answers that
/// are several times slower.
class LatencyBaseline {
public:
  void Learn(const std::string& aKind, Duration aTime);
  /// Returns false until there are enough samples.
  bool IsSlow(const std::string& aKind, Duration aTime) const;

private:
  struct Baseline {
    double m_logMean = 0.0;
    double m_logDeviation = 0.0;
    int m_count = 0;
  };
  std::map<std::string, Baseline> m_kinds;
};

} // namespace fennelline

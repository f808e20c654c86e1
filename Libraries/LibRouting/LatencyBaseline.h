#pragma once

#include "LibBase/Time.h"

#include <map>
#include <string>

namespace fennelline {

/// How long the first byte of an answer usually takes, by kind of request. Tells answers that are
/// several times slower than usual.
class LatencyBaseline {
public:
  void Learn(const std::string& aKind, Duration aTime);
  /// False until enough is known.
  bool IsSlow(const std::string& aKind, Duration aTime) const;

private:
  struct Usual {
    double m_logMean = 0.0;
    double m_logDeviation = 0.0;
    int m_count = 0;
  };
  std::map<std::string, Usual> m_kinds;
};

} // namespace fennelline

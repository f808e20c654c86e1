#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fennelline {

/// How fast engines read prompts, by model, as learnt from the time to the first event.
class PrefillSpeedEstimator {
public:
  /// aTokens were not in the cache when the request was sent, and other prompts were foreseen to
  /// take aForeseenWait.
  void Learn(const std::string& aModel, std::int64_t aTokens, Duration aForeseenWait,
             Duration aToFirstEvent);
  /// The time to read so many tokens with nothing else to do.
  Duration PrefillTime(const std::string& aModel, std::int64_t aTokens) const;

private:
  struct Estimate {
    int m_count = 0;
    double m_secondsPerToken = 0.0;
  };

  std::unordered_map<std::string, Estimate> m_models;
};

} // namespace fennelline

#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fennelline {

/// Estimates how fast engines process prompts (prefill), per model, from the time to the first
/// event.
class PrefillSpeedEstimator {
public:
  /// aTokens: prompt tokens that were not in the prefix cache when the request was sent.
  /// aExpectedWait: predicted prefill time of other prompts ahead of it.
  void Learn(const std::string& aModel, std::int64_t aTokens, Duration aExpectedWait,
             Duration aToFirstEvent);
  /// Predicted time to prefill aTokens on an otherwise idle engine.
  Duration PrefillTime(const std::string& aModel, std::int64_t aTokens) const;

private:
  struct Estimate {
    int m_count = 0;
    double m_secondsPerToken = 0.0;
  };

  std::unordered_map<std::string, Estimate> m_models;
};

} // namespace fennelline

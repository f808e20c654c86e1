#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fennelline {

/// How fast engines read prompts, by model, as learnt from the time to the first event. Waiting
/// only ever adds to that time, so the fastest of late is close to the truth.
class EngineSpeed {
public:
  /// aTokens were not in the cache when the request was sent.
  void Learn(const std::string& aModel, std::int64_t aTokens, Duration aToFirstEvent);
  /// The time to read so many tokens with nothing else to do.
  Duration ReadTime(const std::string& aModel, std::int64_t aTokens) const;

private:
  std::unordered_map<std::string, double> m_secondsPerToken;
};

} // namespace fennelline

#include "LibRouting/EngineSpeed.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Shorter prompts tell more of the wait than of the reading.
constexpr std::int64_t kLeastTokens = 1500;

/// Until a model's speed is known: some 30 tokens a millisecond, as a mid-sized model reads.
constexpr double kFirstSecondsPerToken = 33e-6;

/// Each slower time moves the estimate up by this part, so that it follows a change.
constexpr double kForgetting = 0.02;

} // namespace

void EngineSpeed::Learn(const std::string& aModel, std::int64_t aTokens, Duration aToFirstEvent) {
  if (aTokens < kLeastTokens) {
    return;
  }
  const double seen = InSeconds(aToFirstEvent) / static_cast<double>(aTokens);
  const auto [place, isNew] = m_secondsPerToken.try_emplace(aModel, seen);
  double& held = place->second;
  held = isNew || seen < held ? seen : held + (seen - held) * kForgetting;
}

Duration EngineSpeed::ReadTime(const std::string& aModel, std::int64_t aTokens) const {
  const auto found = m_secondsPerToken.find(aModel);
  const double speed = found == m_secondsPerToken.end() ? kFirstSecondsPerToken : found->second;
  const std::chrono::duration<double> time(speed * static_cast<double>(aTokens));
  return std::chrono::duration_cast<Duration>(time);
}

} // namespace fennelline

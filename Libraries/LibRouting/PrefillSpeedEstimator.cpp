#include "LibRouting/PrefillSpeedEstimator.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Shorter prompts tell more of the wait than of the reading.
constexpr std::int64_t kLeastTokens = 1500;

/// Until a model's speed is known, as a small model reads. Too slow a figure would make an entry
/// that has just started believe that all servers are behind.
constexpr double kFirstSecondsPerToken = 10e-6;

/// Attention compares each token with those before it: in prompts of this many tokens, that takes
/// as long again for models of the usual shapes.
constexpr double kTokensOfEqualAttention = 100'000.0;

/// The way to the server and the step of other requests that is under way there.
constexpr Duration kOverhead = Milliseconds(10);

/// Other entries' prompts add to most times, and a cached prefix that was not known of shortens
/// some. This part of the times lies below the estimate.
constexpr double kQuantile = 0.3;

/// Of the first times the shortest counts: an entry that starts anew is sent what waited for it,
/// and knows nothing yet of what servers have to read.
constexpr int kFirstTimes = 3;

/// By what part a time moves the estimate at least, so that it follows a change.
constexpr double kLeastStep = 0.04;

/// Tokens, weighed by what attention makes of their number.
double Weigh(std::int64_t aTokens) {
  const double tokens = static_cast<double>(aTokens);
  return tokens * (1.0 + tokens / kTokensOfEqualAttention);
}

Duration TimeFor(double aSecondsPerToken, std::int64_t aTokens) {
  const std::chrono::duration<double> time(aSecondsPerToken * Weigh(aTokens));
  return std::chrono::duration_cast<Duration>(time);
}

} // namespace

void PrefillSpeedEstimator::Learn(const std::string& aModel, std::int64_t aTokens,
                                  Duration aForeseenWait, Duration aToFirstEvent) {
  if (aTokens < kLeastTokens) {
    return;
  }
  Estimate& held = m_models.try_emplace(aModel, Estimate{0, kFirstSecondsPerToken}).first->second;
  const Duration reading = aToFirstEvent - aForeseenWait - kOverhead;
  ++held.m_count;
  if (held.m_count <= kFirstTimes) {
    // Where even the wait was shorter than foreseen, all that is known is that it was too long.
    const double seen =
      reading > Duration(0) ? InSeconds(reading) / Weigh(aTokens) : held.m_secondsPerToken / 2.0;
    held.m_secondsPerToken = held.m_count == 1 ? seen : std::min(held.m_secondsPerToken, seen);
    return;
  }
  const double step = std::max(kLeastStep, 1.0 / static_cast<double>(held.m_count));
  const bool isSlower = reading > TimeFor(held.m_secondsPerToken, aTokens);
  held.m_secondsPerToken *= isSlower ? 1.0 + step * kQuantile : 1.0 - step * (1.0 - kQuantile);
}

Duration PrefillSpeedEstimator::PrefillTime(const std::string& aModel, std::int64_t aTokens) const {
  const auto found = m_models.find(aModel);
  const double speed =
    found == m_models.end() ? kFirstSecondsPerToken : found->second.m_secondsPerToken;
  return TimeFor(speed, aTokens);
}

} // namespace fennelline

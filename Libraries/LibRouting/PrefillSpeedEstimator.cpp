#include "LibRouting/PrefillSpeedEstimator.h"

#include <algorithm>

namespace fennelline {

namespace {

/// For shorter prompts the time to the first event is mostly queueing, not prefill.
constexpr std::int64_t kMinTokens = 1500;

/// Initial estimate per model: the speed of a small model. A slower value would make an entry that
/// has just started assume that all servers have long queues.
constexpr double kInitialSecondsPerToken = 10e-6;

/// Attention cost grows with the square of the prompt length. At this many tokens it doubles the
/// prefill time for models of common shapes.
constexpr double kAttentionDoublingTokens = 100'000.0;

/// Network time to the server plus the engine step that is already in progress there.
constexpr Duration kOverhead = Milliseconds(10);

/// Prompts of other entries lengthen most samples, and unknown cache hits shorten some. The
/// estimate tracks this quantile of the samples.
constexpr double kQuantile = 0.3;

/// For the first samples the minimum is used: a newly started entry receives the requests that were
/// waiting for it and does not know the servers' prefill backlog yet.
constexpr int kWarmUpSamples = 3;

/// Minimum relative step per sample, so that the estimate follows changes.
constexpr double kMinStep = 0.04;

/// Token count scaled by the attention cost at this prompt length.
double WeighByAttention(std::int64_t aTokens) {
  const double tokens = static_cast<double>(aTokens);
  return tokens * (1.0 + tokens / kAttentionDoublingTokens);
}

Duration TimeFor(double aSecondsPerToken, std::int64_t aTokens) {
  const std::chrono::duration<double> time(aSecondsPerToken * WeighByAttention(aTokens));
  return std::chrono::duration_cast<Duration>(time);
}

} // namespace

void PrefillSpeedEstimator::Learn(const std::string& aModel, std::int64_t aTokens,
                                  Duration aExpectedWait, Duration aToFirstEvent) {
  if (aTokens < kMinTokens) {
    return;
  }
  Estimate& estimate =
    m_models.try_emplace(aModel, Estimate{0, kInitialSecondsPerToken}).first->second;
  const Duration prefill = aToFirstEvent - aExpectedWait - kOverhead;
  ++estimate.m_count;
  if (estimate.m_count <= kWarmUpSamples) {
    // If the whole time was shorter than the expected wait, the sample only shows that the estimate
    // is too high.
    const double seen = prefill > Duration(0) ? InSeconds(prefill) / WeighByAttention(aTokens)
                                              : estimate.m_secondsPerToken / 2.0;
    estimate.m_secondsPerToken =
      estimate.m_count == 1 ? seen : std::min(estimate.m_secondsPerToken, seen);
    return;
  }
  const double step = std::max(kMinStep, 1.0 / static_cast<double>(estimate.m_count));
  const bool isSlower = prefill > TimeFor(estimate.m_secondsPerToken, aTokens);
  estimate.m_secondsPerToken *= isSlower ? 1.0 + step * kQuantile : 1.0 - step * (1.0 - kQuantile);
}

Duration PrefillSpeedEstimator::PrefillTime(const std::string& aModel, std::int64_t aTokens) const {
  const auto found = m_models.find(aModel);
  const double speed =
    found == m_models.end() ? kInitialSecondsPerToken : found->second.m_secondsPerToken;
  return TimeFor(speed, aTokens);
}

} // namespace fennelline

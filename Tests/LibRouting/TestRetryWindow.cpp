#include "LibBase/Random.h"
#include "LibRouting/RetryWindow.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace fennelline;

namespace {

struct Arrival {
  Time m_at{};
  bool m_isRetry = false;
};

/// Maximum number of retries beyond the ratio in any window, as a server that sees all arrivals
/// counts them.
double MaxBeyondRatio(const std::vector<Arrival>& aArrivals, const RetryLimits& aLimits) {
  double most = 0.0;
  for (const Arrival& first : aArrivals) {
    const Time end = first.m_at + aLimits.m_window;
    double requests = 0.0;
    double retries = 0.0;
    for (const Arrival& arrival : aArrivals) {
      if (arrival.m_at >= first.m_at && arrival.m_at < end) {
        (arrival.m_isRetry ? retries : requests) += 1.0;
      }
    }
    most = std::max(most, retries - aLimits.m_ratio * requests);
  }
  return most;
}

} // namespace

TEST_CASE(
  "all entries together keep the fleet's retry limit in every window while every request fails") {
  constexpr std::size_t kEntries = 9;
  const RetryLimits plan = {
    .m_ratio = 0.9, .m_slack = 58.0, .m_window = Seconds(10), .m_entries = kEntries};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Random random(seed);
    std::vector<RetryWindow> entries(kEntries);
    std::vector<Arrival> arrivals;
    Time now{Seconds(100)};
    for (int request = 0; request < 1500; ++request) {
      now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(random.Exponential(0.02)));
      RetryWindow& entry = entries[random.Below(kEntries)];
      entry.OnRequest(now);
      arrivals.push_back({.m_at = now});
      // Every request fails and asks for two retries.
      for (int retry = 0; retry < 2; ++retry) {
        if (entry.TrySpend(plan, now)) {
          arrivals.push_back({.m_at = now, .m_isRetry = true});
        }
      }
    }
    CHECK(MaxBeyondRatio(arrivals, plan) <= plan.m_slack);
  }
}

TEST_CASE("an entry without requests may use its part of the slack and no more") {
  const RetryLimits plan = {.m_ratio = 0.9, .m_slack = 90.0, .m_entries = 9};
  RetryWindow window;
  int spent = 0;
  while (window.TrySpend(plan, Time{Seconds(50)})) {
    ++spent;
  }
  CHECK(spent >= 1);
  CHECK(spent <= 10);
  CHECK(window.TrySpend(plan, Time{Seconds(62)}));
}

#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace fennelline {

struct RetryLimits {
  /// Retries allowed per request in a window, from the settings.
  double m_ratio = 0.9;
  /// Retries allowed per window in addition to m_ratio, shared by all entries.
  double m_slack = 50.0;
  Duration m_window = Seconds(10);
  /// Number of entries that share the slack.
  std::size_t m_entries = 1;
};

/// Limits the retries that this entry sends to one service, such that all entries together stay
/// within the fleet's limit no matter which of them are alive: each may use the ratio of its own
/// requests and its part of the slack.
class RetryWindow {
public:
  void OnRequest(Time aNow);
  /// Counts a retry and returns true if the plan allows it now.
  bool TrySpend(const RetryLimits& aLimits, Time aNow);

private:
  static constexpr std::size_t kBuckets = 20;
  struct Bucket {
    std::int64_t m_number = -1;
    std::int64_t m_requests = 0;
    std::int64_t m_retries = 0;
  };

  static std::int64_t NumberAt(Duration aWindow, Time aNow);
  Bucket& BucketAt(std::int64_t aNumber);

  Duration m_window = Seconds(10);
  std::array<Bucket, kBuckets + 1> m_buckets;
};

} // namespace fennelline

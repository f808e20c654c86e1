#include "LibRouting/RetryWindow.h"

namespace fennelline {

namespace {

/// Share of the limit that is used. Retries arrive later than they are counted here, so a window
/// measured at the servers may contain more of them.
constexpr double kUsedFraction = 0.8;

} // namespace

std::int64_t RetryWindow::NumberAt(Duration aWindow, Time aNow) {
  return aNow.time_since_epoch() / (aWindow / static_cast<std::int64_t>(kBuckets));
}

RetryWindow::Bucket& RetryWindow::BucketAt(std::int64_t aNumber) {
  Bucket& bucket = m_buckets[static_cast<std::size_t>(aNumber) % m_buckets.size()];
  if (bucket.m_number != aNumber) {
    bucket = {.m_number = aNumber, .m_requests = 0, .m_retries = 0};
  }
  return bucket;
}

void RetryWindow::OnRequest(Time aNow) {
  ++BucketAt(NumberAt(m_window, aNow)).m_requests;
}

bool RetryWindow::TrySpend(const RetryLimits& aLimits, Time aNow) {
  m_window = aLimits.m_window;
  const std::int64_t number = NumberAt(m_window, aNow);
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const Bucket& bucket : m_buckets) {
    const bool isInWindow = bucket.m_number <= number &&
                            bucket.m_number > number - static_cast<std::int64_t>(m_buckets.size());
    requests += isInWindow ? bucket.m_requests : 0;
    retries += isInWindow ? bucket.m_retries : 0;
  }
  const double allowed = kUsedFraction * (aLimits.m_ratio * static_cast<double>(requests) +
                                          aLimits.m_slack / static_cast<double>(aLimits.m_entries));
  if (static_cast<double>(retries + 1) > allowed) {
    return false;
  }
  ++BucketAt(number).m_retries;
  return true;
}

} // namespace fennelline

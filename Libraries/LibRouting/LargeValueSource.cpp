#include "LibRouting/LargeValueSource.h"

#include "LibRouting/ExponentialBackoff.h"

#include <utility>

namespace fennelline {

namespace {

constexpr Duration kFirstDelay = Milliseconds(20);
constexpr Duration kMaxDelay = Milliseconds(160);

/// Every so many attempts, a random peer is asked.
constexpr int kAttemptsPerOther = 3;

/// How long peers are asked before the store, which every entry would ask for the whole value. A
/// configuration must be in force within two seconds.
constexpr Duration kStoreDelay = Seconds(1);
/// Spacing per entry of their calls to the store.
constexpr Duration kStoreSpacing = Milliseconds(10);

} // namespace

void LargeValueSource::Start(std::size_t aEntries, Time aNow) {
  m_holder.clear();
  m_attempts = 0;
  m_delays = 0;
  const Duration spread = kStoreSpacing * static_cast<std::int64_t>(aEntries);
  m_storeInterval = kStoreDelay + std::chrono::duration_cast<Duration>(spread * m_random.Uniform());
  m_storeAt = aNow + m_storeInterval;
}

LargeValueSource::Choice LargeValueSource::Choose(const std::vector<std::string>& aPeers,
                                                  Time aNow) {
  if (!m_holder.empty()) {
    return {.m_peer = std::exchange(m_holder, {})};
  }
  if (aNow >= m_storeAt || (m_announcer.empty() && aPeers.empty())) {
    m_storeAt = aNow + m_storeInterval;
    return {.m_isStore = true};
  }
  // The announcer holds the value, or knows who does. It may also be gone.
  const bool isOthersTurn = m_attempts++ % kAttemptsPerOther == kAttemptsPerOther - 1;
  const bool asksAnnouncer = !m_announcer.empty() && (!isOthersTurn || aPeers.empty());
  return {.m_peer = asksAnnouncer ? m_announcer : aPeers[m_random.Below(aPeers.size())]};
}

Duration LargeValueSource::OnBusy(std::string aHolder) {
  if (aHolder.empty()) {
    return OnFailure();
  }
  m_holder = std::move(aHolder);
  return Duration(0);
}

Duration LargeValueSource::OnFailure() {
  const Duration delay = ExponentialBackoff(kFirstDelay, kMaxDelay, m_delays++);
  // Jitter keeps the entries from asking in step.
  return std::chrono::duration_cast<Duration>(delay * (0.5 + m_random.Uniform()));
}

} // namespace fennelline

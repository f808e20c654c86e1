#include "LibRouting/MirrorSource.h"

#include "LibRouting/ExponentialBackoff.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Retry delay for the store, doubled up to the maximum. Each call costs the store capacity, yet a
/// change made right after an outage must be in force within seconds.
constexpr Duration kFirstStoreWait = Milliseconds(40);
constexpr Duration kMaxStoreWait = Milliseconds(600);

/// How long a peer that did not answer is skipped.
constexpr Duration kPeerWait = Seconds(1);

/// Entries that fall back to the store try it one after the other, with this spacing per entry,
/// because the store's rate limits grow more slowly than the fleet.
constexpr Duration kFirstFallbackSpacing = Milliseconds(10);
constexpr Duration kFallbackSpacing = Milliseconds(20);
/// The first calls are spread over at most this time, whatever the size of the fleet: a change must
/// be known everywhere within two seconds. The first answer keeps the remaining entries from
/// asking.
constexpr Duration kMaxFirstFallbackSpread = Milliseconds(660);
/// After a successful fallback an entry keeps using the store for this time, until the entries that
/// normally poll it have recovered.
constexpr Duration kFallbackTime = Seconds(3);

} // namespace

void MirrorSource::SetPeers(bool aAsksStore, std::vector<std::string> aNear,
                            std::vector<std::string> aOthers) {
  m_asksStore = aAsksStore;
  m_near = std::move(aNear);
  m_others = std::move(aOthers);
  // Each entry shuffles the peers, so that they do not all ask the same one.
  for (std::size_t index = 1; index < m_others.size(); ++index) {
    std::swap(m_others[index], m_others[m_random.Below(index + 1)]);
  }
  std::erase_if(m_failures, [this](const std::pair<const std::string, Failure>& aItem) {
    return std::find(m_near.begin(), m_near.end(), aItem.first) == m_near.end() &&
           std::find(m_others.begin(), m_others.end(), aItem.first) == m_others.end();
  });
}

std::optional<std::string> MirrorSource::FirstUsable(const std::vector<std::string>& aPeers,
                                                     Time aNow) const {
  const auto usable = std::find_if(aPeers.begin(), aPeers.end(), [&](const std::string& aPeer) {
    const auto failure = m_failures.find(aPeer);
    return failure == m_failures.end() || failure->second.m_retryAt <= aNow;
  });
  return usable == aPeers.end() ? std::nullopt : std::optional<std::string>(*usable);
}

Duration MirrorSource::Jitter(Duration aTime) {
  return std::chrono::duration_cast<Duration>(aTime * m_random.Uniform());
}

bool MirrorSource::ShouldFallBackToStore(bool aIsStoreUnconfirmed, std::size_t aEntries,
                                         Time aNow) {
  if (!aIsStoreUnconfirmed) {
    m_fallbackAt.reset();
    return false;
  }
  const std::int64_t entries = static_cast<std::int64_t>(aEntries);
  if (!m_fallbackAt) {
    m_fallbackAt =
      aNow + Jitter(std::min(kFirstFallbackSpacing * entries, kMaxFirstFallbackSpread));
  }
  if (aNow < *m_fallbackAt) {
    return false;
  }
  m_fallbackAt = aNow + kMaxStoreWait + Jitter(kFallbackSpacing * entries);
  return true;
}

std::optional<MirrorSource::Choice> MirrorSource::Choose(bool aIsStoreUnconfirmed,
                                                         std::size_t aEntries, Time aNow) {
  const bool mayAskStore = aNow >= m_storeRetryAt;
  if (mayAskStore && (m_asksStore || aNow < m_fallbackUntil)) {
    return Choice{.m_isStore = true};
  }
  if (mayAskStore && ShouldFallBackToStore(aIsStoreUnconfirmed, aEntries, aNow)) {
    return Choice{.m_isStore = true, .m_isFallback = true};
  }
  for (const std::vector<std::string>* peers : {&m_near, &m_others}) {
    const std::optional<std::string> peer = FirstUsable(*peers, aNow);
    if (peer) {
      return Choice{.m_peer = *peer, .m_isProbe = m_hasPeerFailed || m_failures.contains(*peer)};
    }
  }
  return mayAskStore ? std::optional<Choice>(Choice{.m_isStore = true}) : std::nullopt;
}

void MirrorSource::OnAnswer(const Choice& aChoice, Time aNow) {
  if (aChoice.m_isStore) {
    m_fallbackUntil = aChoice.m_isFallback ? aNow + kFallbackTime : m_fallbackUntil;
    m_storeFailures = 0;
    m_storeRetryAt = Time{};
  } else {
    m_failures.erase(aChoice.m_peer);
    m_hasPeerFailed = false;
  }
}

void MirrorSource::OnFailure(const Choice& aChoice, Time aNow) {
  if (!aChoice.m_isStore) {
    m_failures.try_emplace(aChoice.m_peer, Failure{.m_first = aNow}).first->second.m_retryAt =
      aNow + kPeerWait;
    m_hasPeerFailed = true;
    return;
  }
  const Duration wait = ExponentialBackoff(kFirstStoreWait, kMaxStoreWait, m_storeFailures++);
  // Jitter keeps the entries from retrying in step.
  const double spread = 0.5 + m_random.Uniform();
  m_storeRetryAt = aNow + std::chrono::duration_cast<Duration>(wait * spread);
}

std::optional<Time> MirrorSource::WatchersSilentSince() const {
  std::optional<Time> since;
  for (const std::string& peer : m_near) {
    const auto failure = m_failures.find(peer);
    if (failure == m_failures.end()) {
      return std::nullopt;
    }
    since = std::max(since.value_or(Time{}), failure->second.m_first);
  }
  return since;
}

std::optional<Time> MirrorSource::FallbackAt() const {
  return m_fallbackAt ? std::optional<Time>(std::max(*m_fallbackAt, m_storeRetryAt)) : std::nullopt;
}

} // namespace fennelline

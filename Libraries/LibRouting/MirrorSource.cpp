#include "LibRouting/MirrorSource.h"

#include "LibRouting/ExponentialBackoff.h"

#include <algorithm>

namespace fennelline {

namespace {

/// The store is asked again after this time, doubled up to the longest: each call is paid for, and
/// a change made right after an outage is to be in force within seconds.
constexpr Duration kFirstStoreWait = Milliseconds(40);
constexpr Duration kLongestStoreWait = Milliseconds(600);

/// A peer that did not answer is passed over for so long.
constexpr Duration kPeerWait = Seconds(1);

/// Entries that stand in try the store one after the other, so far apart for each of them: the
/// store's rates grow more slowly than the fleet.
constexpr Duration kFirstStandInSpacing = Milliseconds(10);
constexpr Duration kStandInSpacing = Milliseconds(20);
/// An entry that has reached the store goes on with it, until those that should have come back.
constexpr Duration kStandInTime = Seconds(3);

} // namespace

void MirrorSource::SetPeers(bool aAsksStore, std::vector<std::string> aNear,
                            std::vector<std::string> aOthers) {
  m_asksStore = aAsksStore;
  m_near = std::move(aNear);
  m_others = std::move(aOthers);
  // Each entry has an order of its own, so that one peer is not asked by all.
  for (std::size_t index = 1; index < m_others.size(); ++index) {
    std::swap(m_others[index], m_others[m_random.Below(index + 1)]);
  }
  std::erase_if(m_peerAgainAt, [this](const std::pair<const std::string, Time>& aItem) {
    return std::find(m_near.begin(), m_near.end(), aItem.first) == m_near.end() &&
           std::find(m_others.begin(), m_others.end(), aItem.first) == m_others.end();
  });
}

std::optional<std::string> MirrorSource::FirstUsable(const std::vector<std::string>& aPeers,
                                                     Time aNow) const {
  const auto usable = std::find_if(aPeers.begin(), aPeers.end(), [&](const std::string& aPeer) {
    const auto waits = m_peerAgainAt.find(aPeer);
    return waits == m_peerAgainAt.end() || waits->second <= aNow;
  });
  return usable == aPeers.end() ? std::nullopt : std::optional<std::string>(*usable);
}

Duration MirrorSource::Spread(Duration aTime) {
  return std::chrono::duration_cast<Duration>(aTime * m_random.Uniform());
}

bool MirrorSource::StandsIn(bool aIsUnproved, std::size_t aEntries, Time aNow) {
  if (!aIsUnproved) {
    m_standInAt.reset();
    return false;
  }
  const std::int64_t entries = static_cast<std::int64_t>(aEntries);
  if (!m_standInAt) {
    m_standInAt = aNow + Spread(kFirstStandInSpacing * entries);
  }
  if (aNow < *m_standInAt) {
    return false;
  }
  m_standInAt = aNow + kLongestStoreWait + Spread(kStandInSpacing * entries);
  return true;
}

std::optional<MirrorSource::Choice> MirrorSource::Choose(bool aIsUnproved, std::size_t aEntries,
                                                         Time aNow) {
  const bool mayAskStore = aNow >= m_storeAgainAt;
  if (mayAskStore && (m_asksStore || aNow < m_standInUntil)) {
    return Choice{.m_isStore = true};
  }
  if (mayAskStore && StandsIn(aIsUnproved, aEntries, aNow)) {
    return Choice{.m_isStore = true, .m_isFallback = true};
  }
  for (const std::vector<std::string>* peers : {&m_near, &m_others}) {
    const std::optional<std::string> peer = FirstUsable(*peers, aNow);
    if (peer) {
      return Choice{.m_peer = *peer};
    }
  }
  return mayAskStore ? std::optional<Choice>(Choice{.m_isStore = true}) : std::nullopt;
}

void MirrorSource::OnAnswer(const Choice& aChoice, Time aNow) {
  if (aChoice.m_isStore) {
    m_standInUntil = aChoice.m_isFallback ? aNow + kStandInTime : m_standInUntil;
    m_storeFailures = 0;
    m_storeAgainAt = Time{};
  } else {
    m_peerAgainAt.erase(aChoice.m_peer);
  }
}

void MirrorSource::OnFailure(const Choice& aChoice, Time aNow) {
  if (!aChoice.m_isStore) {
    m_peerAgainAt[aChoice.m_peer] = aNow + kPeerWait;
    return;
  }
  const Duration wait = ExponentialBackoff(kFirstStoreWait, kLongestStoreWait, m_storeFailures++);
  // Spread, so that the entries do not come back in step.
  const double spread = 0.5 + m_random.Uniform();
  m_storeAgainAt = aNow + std::chrono::duration_cast<Duration>(wait * spread);
}

} // namespace fennelline

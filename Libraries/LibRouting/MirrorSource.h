#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// Chooses where an entry reads the store's contents from. A few entries of each data centre poll
/// the store itself, so that its load does not grow with the fleet; the other entries poll those. A
/// source that does not answer is skipped for a while, and then any peer, or the store, is used.
///
/// The caller may give up on a source before its call has ended, and report a later answer too.
class MirrorSource {
public:
  explicit MirrorSource(std::uint64_t aSeed)
    : m_random(aSeed) {}

  /// aNear: peers of the same data centre that poll the store. aOthers: all other peers.
  void SetPeers(bool aAsksStore, std::vector<std::string> aNear, std::vector<std::string> aOthers);

  struct Choice {
    bool m_isStore = false;
    /// The store is tried because the entries that normally poll it have no recent answer from it.
    bool m_isFallback = false;
    /// Address of the peer; empty for the store.
    std::string m_peer;
    /// A peer failed last, so this one should answer at once to show that it is alive.
    bool m_isProbe = false;
  };
  /// Returns no choice while all sources are in backoff. aIsStoreUnconfirmed: no known entry has
  /// had an answer from the store for too long. Entries that do not normally poll the store then
  /// try it as well, spread over time in proportion to their number, because the polling entries
  /// may be cut off from it.
  std::optional<Choice> Choose(bool aIsStoreUnconfirmed, std::size_t aEntries, Time aNow);
  void OnAnswer(const Choice& aChoice, Time aNow);
  void OnFailure(const Choice& aChoice, Time aNow);
  /// Another entry reads the store in place of those that normally do, so this one need not.
  void EndFallback() { m_fallbackUntil = Time{}; }
  /// Since when none of the peers that poll the store has answered; none if one has, or there are
  /// no such peers.
  std::optional<Time> WatchersSilentSince() const;
  /// When this entry may fall back to the store; none unless a choice was made with
  /// aIsStoreUnconfirmed.
  std::optional<Time> FallbackAt() const;
  bool AsksStore() const { return m_asksStore; }
  /// Whether this entry's last call to the store failed.
  bool IsStoreFailing() const { return m_storeFailures > 0; }

private:
  bool ShouldFallBackToStore(bool aIsStoreUnconfirmed, std::size_t aEntries, Time aNow);
  Duration Jitter(Duration aTime);
  std::optional<std::string> FirstUsable(const std::vector<std::string>& aPeers, Time aNow) const;

  Random m_random;
  bool m_asksStore = true;
  std::vector<std::string> m_near;
  std::vector<std::string> m_others;
  Time m_storeRetryAt{};
  int m_storeFailures = 0;
  /// When this entry may fall back to the store, and until when it keeps using it.
  std::optional<Time> m_fallbackAt;
  Time m_fallbackUntil{};
  /// Peers that have not answered since a call to them failed.
  struct Failure {
    Time m_first{};
    Time m_retryAt{};
  };
  std::map<std::string, Failure> m_failures;
  bool m_hasPeerFailed = false;
};

} // namespace fennelline

#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// Chooses whom an entry asks what stands in the store. Few entries of each data centre ask the
/// store itself, so that its load does not grow with the fleet; the others ask those few. Whoever
/// does not answer is passed over for a while, and then any peer, or the store, will do.
class MirrorSource {
public:
  explicit MirrorSource(std::uint64_t aSeed)
    : m_random(aSeed) {}

  /// aNear: the peers of the own data centre that ask the store. aOthers: all other peers.
  void SetPeers(bool aAsksStore, std::vector<std::string> aNear, std::vector<std::string> aOthers);

  struct Choice {
    bool m_isStore = false;
    /// The store is tried in place of those that should ask it.
    bool m_isFallback = false;
    /// A peer's address; empty for the store.
    std::string m_peer;
  };
  /// None while nobody may be asked. aIsUnproved: nobody whom this entry hears has had an answer
  /// of the store for too long. Then entries that do not ask the store otherwise try it as well,
  /// spread over time by their number: the few that should may be cut off from it.
  std::optional<Choice> Choose(bool aIsUnproved, std::size_t aEntries, Time aNow);
  void OnAnswer(const Choice& aChoice, Time aNow);
  void OnFailure(const Choice& aChoice, Time aNow);
  bool AsksStore() const { return m_asksStore; }
  /// The store has not answered this entry's last call.
  bool IsStoreFailing() const { return m_storeFailures > 0; }

private:
  bool StandsIn(bool aIsUnproved, std::size_t aEntries, Time aNow);
  Duration Spread(Duration aTime);
  std::optional<std::string> FirstUsable(const std::vector<std::string>& aPeers, Time aNow) const;

  Random m_random;
  bool m_asksStore = true;
  std::vector<std::string> m_near;
  std::vector<std::string> m_others;
  Time m_storeAgainAt{};
  int m_storeFailures = 0;
  /// When this entry may try the store in place of others, and how long it goes on.
  std::optional<Time> m_standInAt;
  Time m_standInUntil{};
  std::map<std::string, Time> m_peerAgainAt;
};

} // namespace fennelline

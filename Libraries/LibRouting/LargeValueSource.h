#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fennelline {

/// Chooses whom an entry asks for a large value. The entry that announced the value comes first. It
/// sends to few entries at a time and names those that it has served to the others, so the value
/// spreads in a tree. The store is asked if no peer has served the value in time.
class LargeValueSource {
public:
  explicit LargeValueSource(std::uint64_t aSeed)
    : m_random(aSeed) {}

  /// A new value is wanted. aEntries: number of live entries, over which their calls to the store
  /// are spread.
  void Start(std::size_t aEntries, Time aNow);
  /// A peer says that it knows of the value.
  void SetAnnouncer(std::string aPeer) { m_announcer = std::move(aPeer); }

  struct Choice {
    bool m_isStore = false;
    /// Address of the peer; empty for the store.
    std::string m_peer;
  };
  /// aPeers: addresses of all other entries.
  Choice Choose(const std::vector<std::string>& aPeers, Time aNow);

  /// The peer is sending to others. aHolder: address of an entry that it has served, or empty.
  /// Returns the time to wait before the next attempt.
  Duration OnBusy(std::string aHolder);
  /// The source did not provide the value. Returns the time to wait before the next attempt.
  Duration OnFailure();

private:
  Random m_random;
  std::string m_announcer;
  /// An entry that is said to hold the value.
  std::string m_holder;
  int m_attempts = 0;
  /// Attempts in a row after which no source was known to hold the value.
  int m_delays = 0;
  Time m_storeAt{};
  Duration m_storeInterval{0};
};

} // namespace fennelline

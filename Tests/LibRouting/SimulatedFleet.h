#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibRouting/RequestPermits.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fennelline {

/// The most of these times that lie within any window of this length.
inline double MostInWindow(std::vector<Time> aTimes, Duration aWindow) {
  std::sort(aTimes.begin(), aTimes.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aTimes.size(); ++last) {
    while (aTimes[last] - aTimes[first] >= aWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<double>(most);
}

/// What every simulated entry holds.
struct SimulatedEntry {
  PermitIssuer m_issuer;
  IssuableShare m_share;
  std::vector<std::size_t> m_members;
  std::vector<std::uint64_t> m_hashes;
};

/// Entries in simulated time that issue permits. They learn at different times of members that die,
/// are cut off or start. EntryType: a SimulatedEntry, perhaps with more state.
template<typename EntryType>
class SimulatedFleet {
public:
  static constexpr Time kStart{Seconds(1'000'000)};

  explicit SimulatedFleet(std::uint64_t aSeed)
    : m_random(aSeed) {}

  void Announce() {
    for (const std::size_t entry : m_alive) {
      After(Spread(kLeastDetectionMs, kDetectionSpreadMs),
            [this, entry, members = m_alive] { LearnMembers(entry, members); });
    }
  }
  void Kill(std::size_t aEntry) {
    std::erase(m_alive, aEntry);
    Announce();
  }
  /// Splits the fleet: the first aCount entries reach only each other.
  void Split(std::size_t aCount) {
    m_side = aCount;
    for (const std::size_t entry : m_alive) {
      std::vector<std::size_t> members = m_alive;
      std::erase_if(members, [&](std::size_t aOther) { return IsCut(entry, aOther); });
      After(Spread(kLeastDetectionMs, kDetectionSpreadMs),
            [this, entry, members] { LearnMembers(entry, members); });
    }
  }
  std::size_t IssuerOf(std::size_t aEntry, std::size_t aServer) const {
    const EntryType& entry = *m_entries[aEntry];
    return entry.m_members[ChoosePermitIssuer(aServer, entry.m_hashes)];
  }

protected:
  EntryType& AddEntry() {
    m_alive.push_back(m_entries.size());
    m_entries.push_back(std::make_unique<EntryType>());
    return *m_entries.back();
  }
  void LearnAllMembers() {
    for (const std::size_t entry : m_alive) {
      LearnMembers(entry, m_alive);
    }
  }
  bool IsCut(std::size_t aOne, std::size_t aOther) const {
    return m_side > 0 && (aOne < m_side) != (aOther < m_side);
  }
  Duration Spread(std::int64_t aLeastMs, std::uint64_t aMoreMs) {
    return Milliseconds(aLeastMs + static_cast<std::int64_t>(m_random.Below(aMoreMs)));
  }
  void After(Duration aTime, std::function<void()> aAction) {
    m_events.emplace(m_now + aTime, std::move(aAction));
  }
  void RunEvents(Time aUntil) {
    while (!m_events.empty() && m_events.begin()->first <= aUntil) {
      const auto first = m_events.begin();
      m_now = first->first;
      const std::function<void()> action = std::move(first->second);
      m_events.erase(first);
      action();
    }
    m_now = aUntil;
  }
  /// Delivers a message, unless it is lost. Returns whether it arrives.
  bool Deliver(std::size_t aFrom, std::size_t aTo, std::uint64_t aDelaySpreadMs,
               std::function<void()> aAction) {
    constexpr double kLoss = 0.02;
    const bool isAlive = std::find(m_alive.begin(), m_alive.end(), aTo) != m_alive.end();
    if (!isAlive || IsCut(aFrom, aTo) || m_random.Chance(kLoss)) {
      return false;
    }
    After(Spread(1, aDelaySpreadMs), std::move(aAction));
    return true;
  }

  Random m_random;
  Time m_now = kStart;
  std::vector<std::unique_ptr<EntryType>> m_entries;
  std::vector<std::size_t> m_alive;

private:
  static constexpr std::int64_t kLeastDetectionMs = 800;
  static constexpr std::uint64_t kDetectionSpreadMs = 700;

  void LearnMembers(std::size_t aEntry, const std::vector<std::size_t>& aMembers) {
    EntryType& entry = *m_entries[aEntry];
    entry.m_members = aMembers;
    entry.m_hashes.clear();
    std::set<std::string> nodes;
    for (const std::size_t member : aMembers) {
      entry.m_hashes.push_back(Random(member).Next());
      nodes.insert(std::to_string(member));
    }
    entry.m_share.OnMembers(nodes, m_now);
    entry.m_issuer.OnMembersChanged(m_now);
  }

  std::size_t m_side = 0;
  std::multimap<Time, std::function<void()>> m_events;
};

} // namespace fennelline

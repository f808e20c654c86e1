#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace fennelline {

/// What backend servers said in their answers of being sent requests, by the identity of each start
/// of a server. It outlives the servers' entries in the store, which may be missing for a while or
/// come back from an older copy.
class ServerWishes {
public:
  /// The server is leaving. That holds until it has started again. Returns whether it was not
  /// known.
  bool OnLeaving(std::uint64_t aServer, Time aNow);
  /// The server wants no requests of this entry before aUntil.
  void OnWait(std::uint64_t aServer, Time aUntil);

  bool IsLeaving(std::uint64_t aServer) const { return m_leaving.contains(aServer); }
  /// The time before which the server wants no requests.
  Time LeftAloneUntil(std::uint64_t aServer) const;
  /// Forgets waits that have ended and servers that left long ago.
  void Expire(Time aNow);
  std::size_t CountLeaving() const { return m_leaving.size(); }

private:
  /// When each server was first known to be leaving.
  std::unordered_map<std::uint64_t, Time> m_leaving;
  std::unordered_map<std::uint64_t, Time> m_leftAloneUntil;
};

/// When an entry may send requests again to a server that rejected one and asked to be left alone
/// for aAsked. Entries that were told at about the same time do not return at the same moment.
Time EndOfWait(Duration aAsked, Time aNow, Random& aRandom);

} // namespace fennelline

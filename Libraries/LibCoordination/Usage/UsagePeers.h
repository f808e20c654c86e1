#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/MembershipMessages.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace fennelline {

/// The other entries and their states, as used by the usage ledger.
class UsagePeers {
public:
  UsagePeers(EntryId aSelf, DataCentre aDataCentre);

  void Update(std::span<const MemberDigest> aMembers);

  /// The peer for the given try, in an order specific to this entry that starts with other data
  /// centres. Empty if there are fewer peers.
  EntryId PeerAt(std::size_t aTry) const;
  std::size_t CountAlive() const { return m_orderedPeers.size(); }

  /// How long the entry has been dead or unlisted, counted from the first call that found it so.
  Duration GoneFor(const EntryId& aEntry, Time aNow);

  /// Whether this entry has the lowest id of all live entries. It performs the tasks that only one
  /// entry should do.
  bool IsFirst() const { return m_isFirst; }

private:
  EntryId m_self;
  DataCentre m_dataCentre;
  std::map<EntryId, MemberState> m_states;
  std::map<EntryId, Time> m_goneSince;
  std::vector<EntryId> m_orderedPeers;
  bool m_isFirst = true;
};

} // namespace fennelline

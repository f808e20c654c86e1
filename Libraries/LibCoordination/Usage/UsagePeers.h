#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/MembershipMessages.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace fennelline {

/// The other entries as the usage ledger sees them.
class UsagePeers {
public:
  UsagePeers(EntryId aSelf, DataCentre aDataCentre);

  void Update(std::span<const MemberDigest> aMembers);

  /// The peer to try, in an order of this entry's own: other data centres first. Empty where there
  /// are fewer peers.
  EntryId Choice(std::size_t aTry) const;
  std::size_t Alive() const { return m_choices.size(); }

  /// How long the entry has been dead or in no list, as far as this function has been asked.
  Duration GoneFor(const EntryId& aEntry, Time aNow);

  /// Of all alive entries this one is the first in the order for duties that one entry does.
  bool IsFirst() const { return m_isFirst; }

private:
  EntryId m_self;
  DataCentre m_dataCentre;
  std::map<EntryId, MemberState> m_states;
  std::map<EntryId, Time> m_goneSince;
  std::vector<EntryId> m_choices;
  bool m_isFirst = true;
};

} // namespace fennelline

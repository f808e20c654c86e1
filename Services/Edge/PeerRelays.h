#pragma once

#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/Members.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fennelline {

/// The other entries, as a way to the backend servers for requests of this one, which has lost its
/// own. Each is a BackendLink whose address is that for requests between entries.
class PeerRelays {
public:
  PeerRelays(EdgeContext& aContext, Members& aMembers)
    : m_context(aContext)
    , m_members(aMembers) {}

  void OnMembersChanged();
  /// The entry that is to take the next request: the one with the fewest of this entry's, and of
  /// these one nearby. None if all have been tried, or did not take a request just now.
  std::shared_ptr<BackendLink> Choose(const std::vector<std::string>& aTried) const;
  void OnTaken(BackendLink& aPeer);
  /// The entry did not take a request, or cannot be reached.
  void OnNotTaken(BackendLink& aPeer);
  /// Closes idle connections; called about once a second.
  void Sweep();

private:
  EdgeContext& m_context;
  Members& m_members;
  /// By the id of the entry.
  std::map<std::string, std::shared_ptr<BackendLink>> m_peers;
};

} // namespace fennelline

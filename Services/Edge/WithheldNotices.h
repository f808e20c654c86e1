#pragma once

#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/Members.h"
#include "Services/Edge/StoreView.h"

#include <set>
#include <string>

namespace fennelline {

/// Tells entries that have just started which backend servers are withheld because only the copy
/// lists them from which the store came back. A new entry cannot tell by itself.
class WithheldNotices {
public:
  WithheldNotices(EdgeContext& aContext, Members& aMembers, StoreView& aStoreView)
    : m_context(aContext)
    , m_members(aMembers)
    , m_storeView(aStoreView) {}

  /// The store has come back, and this entry knows which servers to withhold.
  void OnReturn();
  void OnMembersChanged();
  /// Returns whether the message is about withheld servers.
  bool OnPeerMessage(const std::string& aMessage);

private:
  /// Returns an empty message if no server is withheld.
  std::string Encode() const;

  EdgeContext& m_context;
  Members& m_members;
  StoreView& m_storeView;
  std::set<std::string> m_known;
};

} // namespace fennelline

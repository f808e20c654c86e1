#pragma once

#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/Members.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fennelline {

/// Spreads among the entries which servers have said in their answers that they are leaving. Each
/// entry passes on what is new to it to a few random ones, so that the messages for a server that
/// leaves grow with the number of entries and not with its square.
class LeavingNotices {
public:
  LeavingNotices(EdgeContext& aContext, Members& aMembers)
    : m_context(aContext)
    , m_members(aMembers) {}

  /// A server has said so in its answer to the request.
  void OnAnswer(const BackendLink& aBackend, std::string_view aRequest);
  /// Returns whether the message is about leaving servers.
  bool OnPeerMessage(const std::string& aMessage);

private:
  void Learn(std::uint64_t aServer, std::string_view aSource, std::string_view aRequest);

  EdgeContext& m_context;
  Members& m_members;
};

} // namespace fennelline

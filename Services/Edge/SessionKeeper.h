#pragma once

#include "LibRouting/RecentSessions.h"
#include "LibRouting/SessionWitnesses.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/Members.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fennelline {

/// Keeps sessions on their version while a new one is on trial. A session's requests come at any
/// entry, so a few entries, its witnesses, remember that it runs on the version being replaced, and
/// are asked before its first request goes to the new one.
class SessionKeeper {
public:
  using OnDecided = std::function<void(bool aStaysOnOldVersion)>;

  SessionKeeper(EdgeContext& aContext, Members& aMembers)
    : m_context(aContext)
    , m_members(aMembers) {}

  /// A request of the session runs on the version being replaced, or has ended there.
  void Announce(std::uint64_t aSession);
  /// Finds out whether the session runs on the version being replaced. aOnDecided is called at once
  /// if that is known here, or else after the witnesses' answers or a timeout.
  void Ask(std::uint64_t aSession, OnDecided aOnDecided);

  void OnMembersChanged();
  /// Returns whether the message is about sessions.
  bool OnPeerMessage(const std::string& aMessage);

private:
  struct Pending {
    SessionInquiry m_inquiry;
    OnDecided m_onDecided;
    EventLoop::TimerId m_timer = EventLoop::kNoTimer;
  };
  struct Entry {
    std::string m_address;
    bool m_isSelf = false;
  };

  bool IsRunning(std::uint64_t aSession) const;
  void OnAnnouncement(const std::string& aBytes);
  void OnQuestion(const std::string& aBytes);
  void OnAnswer(const std::string& aBytes);
  void Finish(std::uint64_t aNumber);
  void LogUnreadable(std::string_view aKind, const std::string& aBytes) const;

  EdgeContext& m_context;
  Members& m_members;
  RecentSessions m_sessions;
  /// The live entries, including this one, and the hashes of their ids in the same order.
  std::vector<Entry> m_entries;
  std::vector<std::uint64_t> m_entryHashes;
  std::uint64_t m_nextNumber = 1;
  std::map<std::uint64_t, Pending> m_pending;
};

} // namespace fennelline

#pragma once

#include "LibRouting/RequestPermits.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/Members.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fennelline {

/// Keeps this entry's part in the limits that backend servers name: spreads them among the entries,
/// obtains permits for requests from the entries that issue them, and issues those of its own
/// servers. RequestLimit, PermitIssuer and IssuableShare decide; this class exchanges messages.
class ServerPermits {
public:
  using OnDecision = std::function<void(const PermitDecision&)>;

  ServerPermits(EdgeContext& aContext, Members& aMembers)
    : m_context(aContext)
    , m_members(aMembers) {}
  void Start();

  /// Asks for a permit to send a request to a server that limits requests. aOnDecision is called at
  /// once if this entry issues the permits, or else after an answer or a timeout.
  void Ask(const BackendLink& aBackend, int aUrgency, OnDecision aOnDecision);
  /// The server's limit has changed, as one of its answers shows.
  void OnLimitChanged(const BackendLink& aBackend);
  /// Whether this entry should send a request to a limited server in order to learn whether it
  /// still limits them.
  bool IsDueForCheck(const BackendLink& aBackend) const;
  std::size_t CountLimited() const;

  void OnMembersChanged();
  /// Returns whether the message is about limits.
  bool OnPeerMessage(const std::string& aMessage);

private:
  struct Pending {
    OnDecision m_onDecision;
    Time m_askedAt{};
    EventLoop::TimerId m_timer = EventLoop::kNoTimer;
  };
  struct Entry {
    std::string m_address;
    bool m_isSelf = false;
  };

  void OnQuestion(const std::string& aBytes);
  void OnAnswer(const std::string& aBytes);
  void OnNotices(const std::string& aBytes);
  const Entry& IssuerOf(std::uint64_t aServer) const;
  PermitDecision Issue(std::uint64_t aServer, double aPerSecond, int aUrgency);
  void Finish(std::uint64_t aNumber, const PermitDecision& aDecision);
  LimitNotice NoticeOf(const BackendLink& aBackend) const;
  void SendNotices(const std::vector<LimitNotice>& aNotices, std::size_t aReceivers);
  void Remind();
  void LogUnreadable(std::string_view aKind, const std::string& aBytes) const;

  EdgeContext& m_context;
  Members& m_members;
  PermitIssuer m_issuer;
  IssuableShare m_share;
  Time m_startedAt{};
  /// The live entries, including this one, and the hashes of their ids in the same order.
  std::vector<Entry> m_entries;
  std::vector<std::uint64_t> m_entryHashes;
  std::uint64_t m_nextNumber = 1;
  std::map<std::uint64_t, Pending> m_pending;
};

} // namespace fennelline

#pragma once

#include "LibRouting/RequestPermits.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/Members.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// Whether a request to a server needs a permit.
enum class PermitNeed : std::uint8_t {
  None,
  /// The server gets many requests and may be cold without anybody knowing: a permit is asked for,
  /// but another server or, in the end, this one may be used without.
  Advised,
  /// It names a limit or is cold.
  Required,
};

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
  PermitNeed NeedFor(const BackendLink& aBackend) const;
  /// What a server that needs permits may get; none if it needs none.
  std::optional<PermitTerms> TermsFor(const BackendLink& aBackend) const;
  bool IsCold(const BackendLink& aBackend) const;
  /// A request is sent to the server without a permit.
  void OnSentFreely(BackendLink& aBackend);
  /// A permit that was merely advised was refused: the server still gets many requests.
  void OnStillCrowded(BackendLink& aBackend) const {
    aBackend.m_crowdedUntil = m_context.m_loop.Now() + kCrowdedTime;
  }
  /// An answer of the server said for how long it stays cold.
  void OnColdAnswer(BackendLink& aBackend, Duration aLeft, Time aSentAt);
  void LogIfCold(BackendLink& aBackend) const;
  std::size_t CountCold() const;
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
  /// First byte of a message between entries: its type.
  static constexpr char kReportType = 'N';
  static constexpr char kColdNoticeType = 'T';
  /// In larger fleets the others learn of a limit from the server itself, or from reminders.
  static constexpr std::size_t kNoticeReceivers = 80;
  /// How long permits are asked for once a server gets more requests than it could bear if it were
  /// cold, and how often its issuer says so.
  static constexpr Duration kCrowdedTime = Seconds(1);
  static constexpr Duration kCrowdNoticeInterval = Milliseconds(250);

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
  void OnReport(const std::string& aBytes);
  void OnColdNotices(const std::string& aBytes);
  /// Counts a request that was sent without a permit, as the issuer.
  void CountSent(const SendReport& aReport);
  ColdNotice ColdNoticeOf(const BackendLink& aBackend) const;
  void SendToSome(const std::string& aMessage, std::size_t aReceivers);
  std::optional<PermitTerms> ColdTermsFor(const BackendLink& aBackend) const;
  const Entry& IssuerOf(std::uint64_t aServer) const;
  PermitDecision Issue(std::uint64_t aServer, std::optional<double> aPerSecond,
                       std::optional<PermitTerms> aColdTerms, int aUrgency);
  void Finish(std::uint64_t aNumber, const PermitDecision& aDecision);
  LimitNotice NoticeOf(const BackendLink& aBackend) const;
  void SendNotices(const std::vector<LimitNotice>& aNotices, std::size_t aReceivers);
  void Remind();
  void LogUnreadable(std::string_view aKind, const std::string& aBytes) const;

  EdgeContext& m_context;
  Members& m_members;
  PermitIssuer m_issuer;
  /// What this entry alone has sent without permits.
  PermitIssuer m_own;
  IssuableShare m_share;
  /// When the others were last told that a server gets many requests.
  std::map<std::uint64_t, Time> m_crowdTold;
  Time m_startedAt{};
  /// The live entries, including this one, and the hashes of their ids in the same order.
  std::vector<Entry> m_entries;
  std::vector<std::uint64_t> m_entryHashes;
  std::uint64_t m_nextNumber = 1;
  std::map<std::uint64_t, Pending> m_pending;
};

} // namespace fennelline

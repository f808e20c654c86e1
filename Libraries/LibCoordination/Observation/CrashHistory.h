#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibCoordination/Step.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelline {

struct CrashHistorySettings {
  /// The id of this entry.
  EntryId m_self;
  /// A cause that was running when this many different backend servers crashed is refused.
  std::size_t m_crashesToRefuse = 2;
  /// The same for a cause that lately ran well.
  std::size_t m_crashesToRefuseSound = 5;
  /// How long it is refused if its runs on the crashed servers overlapped. The crashes may then
  /// have had a common cause. With zero, a trial may follow at once.
  Duration m_overlapRefusalTime = Seconds(600);
  /// How long it is refused after a run that crashed a server although it began after another
  /// crash, and after the first trial, the second and so on. The last one is repeated.
  std::vector<Duration> m_refusalTimes = {Seconds(600)};
  /// How long a request that may be sent as a trial has for finding a server that accepts it.
  Duration m_trialSetupTime = Seconds(1);
  /// When a refusal has ended, more and more entries may send a trial, see TrialDelay(). A step
  /// should be longer than an announcement takes to reach all of them.
  Duration m_trialStep{0};
  /// A request with several refused parts is sent as a trial only this long after their refusals
  /// have ended, since its crash would not tell which of them is the cause.
  Duration m_ambiguousTrialDelay = Seconds(60);
  /// How long a crash is remembered, and a refusal after its end: at least as long as a caller may
  /// retry a request.
  Duration m_retention = Seconds(600);
  /// What ran well within this time is taken for the cause of crashes only after more of them. Zero
  /// if that is not remembered.
  Duration m_completionMemory{0};
  std::size_t m_maxCompletions = 4096;
  /// Maximum number of remembered causes. Those that are not refused are dropped first, the
  /// oldest of them before the others.
  std::size_t m_maxRequests = 2000;
  /// A change is sent to this many random members in each of m_rounds rounds.
  std::size_t m_fanOut = 8;
  std::size_t m_rounds = 3;
  Duration m_roundInterval = Milliseconds(200);
  /// Interval at which the refused requests are sent to one random member, to reach those that
  /// missed the gossip.
  Duration m_antiEntropyInterval = Seconds(5);
  /// Maximum number of requests described by one message.
  std::size_t m_maxRequestsPerMessage = 100;
  /// Maximum number of requests told at once, to a new member or in a round.
  std::size_t m_maxRequestsPerRound = 400;
  /// In a fleet in which members pass on what is new to them: how many requests are told at once
  /// after a quiet time, and how many a second in the long run. If many servers crash at once, most
  /// of what was running on them is told to few entries.
  double m_maxRelayedAtOnce = 400.0;
  double m_maxRelayedPerSecond = 2000.0;
  /// In such a fleet, how long a crash that has not led to a refusal is worth telling.
  Duration m_reportLifetime = Seconds(600);
};

/// Separates the fingerprint of a prompt part from the account in whose requests it is.
constexpr char kAccountMark = '@';

/// A part of a prompt that requests share.
struct SharedPart {
  /// Identifies the part in the requests of one client account: m_anywhere, kAccountMark and the
  /// account.
  std::string m_inAccount;
  /// Identifies the part in all requests.
  std::string m_anywhere;
};

/// What in a request may crash backend servers, by fingerprints: its whole content, and parts of
/// its prompt that other requests have too.
struct CrashCauses {
  std::string m_content;
  std::vector<SharedPart> m_parts;
};

/// A run that was in progress on a backend server when that crashed.
struct CrashedRun {
  CrashCauses m_causes;
  /// When the request was sent to the server; none if unknown.
  std::optional<Time> m_sentAt;
};

/// Requests with this cause are refused from now on, or it was cleared.
struct VerdictChanged {
  std::string m_fingerprint;
  /// See CrashVerdict::m_refusals.
  std::size_t m_refusals = 0;
};

/// The permission of a request to be sent once although some of its causes are refused.
struct CrashTrial {
  /// Refusals of each of these causes when the permission was given.
  std::map<std::string, std::size_t> m_refusals;

  bool IsGiven() const { return !m_refusals.empty(); }
};

/// Records, across all entries, which requests were running when backend servers crashed, and
/// refuses those that probably caused it. A cause is the content of a request, or a part of its
/// prompt that other requests share; both are identified by a fingerprint, so a new key or another
/// entry makes no difference.
///
/// A crash counts against a wider cause only if it is the first one under the narrower: a part is
/// refused in one account's requests after crashes under different contents, and in all requests
/// after crashes in different accounts. So neither a content that is sent again and again nor a
/// single account makes a part look guilty that others use. Where a part runs well, it is cleared
/// in all accounts.
///
/// When a refusal has ended, one request in the fleet is sent once, as a trial, and the next,
/// longer refusal begins with the sending: whatever becomes of the trials, their number is bounded.
/// What runs well clears its causes at all entries, because it was only running alongside the one
/// that crashed the servers. An entry where it did so lately tells the others, so that a popular
/// cause is not refused for the crashes that its many runs are beside.
///
/// Changes are gossiped. The origin reaches every member of a small fleet itself; in larger ones,
/// members pass on what is new to them. New members are told everything.
class CrashHistory {
public:
  CrashHistory(CrashHistorySettings aSettings, std::uint64_t aSeed)
    : m_settings(std::move(aSettings))
    , m_random(aSeed) {}

  /// The request was running on the backend server when that crashed.
  Step<VerdictChanged> OnCrash(const std::string& aFingerprint, const BackendServerId& aServer,
                               Time aNow) {
    return OnCrashes(
      {{.m_causes = {.m_content = aFingerprint, .m_parts = {}}, .m_sentAt = std::nullopt}}, aServer,
      aNow);
  }
  /// The runs were in progress on the backend server when that crashed.
  Step<VerdictChanged> OnCrashes(const std::vector<CrashedRun>& aRuns,
                                 const BackendServerId& aServer, Time aNow);
  /// The request ran to completion on some backend server.
  Step<VerdictChanged> OnFinished(const CrashCauses& aCauses, Time aNow);
  /// A backend server has been answering the request for a while. That clears the parts of its
  /// prompt, but the content may still crash the server.
  Step<VerdictChanged> OnBegun(const CrashCauses& aCauses, Time aNow);
  Step<VerdictChanged> OnMessage(const EntryId& aFrom, const Message& aMessage, Time aNow);
  /// A durable record of a refusal was read. Its age is unknown, so it counts as new.
  Step<VerdictChanged> OnRecord(const std::string& aFingerprint, std::size_t aRefusals, Time aNow);
  /// Sets the live members other than this one.
  Step<VerdictChanged> OnMembers(const std::vector<EntryId>& aMembers, Time aNow);
  /// To be called at least every 100 ms.
  Step<VerdictChanged> Tick(Time aNow);

  /// Whether the request may be sent to a backend server now. Where a refusal has ended, aTrial
  /// receives the permission for a trial, and aStep the announcement to the other entries.
  bool MayRun(const CrashCauses& aCauses, CrashTrial& aTrial, Time aNow,
              Step<VerdictChanged>& aStep);
  /// A server has accepted the trial.
  Step<VerdictChanged> OnTrialSent(const CrashTrial& aTrial, Time aNow);

  /// Whether requests with this cause are refused now.
  bool IsPoison(const std::string& aFingerprint, Time aNow) const;
  /// The cause for which the request is refused longest; empty without one.
  std::string RefusedCause(const CrashCauses& aCauses, Time aNow) const;
  /// When the refusal of requests with this cause ends; aNow if it has ended.
  Time EndOfRefusal(const std::string& aFingerprint, Time aNow) const;
  /// Whether the request was running during crashes but is not refused. Two suspects on one server
  /// should be avoided: if it crashes, the innocent one would look guilty too.
  bool IsSuspect(const std::string& aFingerprint, Time aNow) const;
  /// Whether the request was running when this server crashed.
  bool HasCrashed(const std::string& aFingerprint, const BackendServerId& aServer, Time aNow) const;
  std::size_t RequestCount() const { return m_requests.size(); }
  /// Number of requests that were refused and have not been cleared.
  std::size_t CountRefused() const;
  std::size_t CountCompletions() const { return m_completed.size(); }

private:
  struct Crash {
    BackendServerId m_server;
    Time m_at{};
  };
  struct Request {
    /// Crashes of different servers since it last ran well and before the first refusal.
    std::vector<Crash> m_crashes;
    std::size_t m_refusals = 0;
    /// When the last refusal began.
    Time m_refusedAt{};
    /// Until then, another request has the permission for a trial.
    Time m_trialUntil{};
    /// When it last ran well, at any entry. Crashes up to this time no longer count.
    std::optional<Time> m_clearedAt;
    /// Position in the order in which requests became known.
    std::uint64_t m_number = 0;

    bool IsClear() const { return m_crashes.empty() && m_refusals == 0; }
  };
  struct Completion {
    std::string m_fingerprint;
    Time m_at{};
  };
  using Completions = std::list<Completion>;
  /// Who found out what is to be told.
  enum class ChangeOrigin : std::uint8_t { Own, Relayed };
  struct PendingChange {
    std::string m_fingerprint;
    std::size_t m_roundsLeft = 0;
    Time m_queuedAt{};
    ChangeOrigin m_origin = ChangeOrigin::Own;
    bool m_endsRefusal = false;
  };

  const Request* Find(const std::string& aFingerprint, Time aNow) const;
  /// What is known of the part in single accounts.
  std::vector<std::string> InAccounts(const std::string& aPart) const;
  /// The causes that have been refused and not cleared, and how many different parts are among
  /// them.
  std::vector<std::string> RefusedCauses(const CrashCauses& aCauses, Time aNow,
                                         std::size_t& aParts) const;
  Request& Insert(const std::string& aFingerprint);
  Time EndOfRefusal(const Request& aRequest) const;
  static Time LastChange(const Request& aRequest);
  Time ForgottenAt(const Request& aRequest) const;
  /// Records a crash that this entry or another one observed. Returns true if it was not known.
  bool Record(const std::string& aFingerprint, const BackendServerId& aServer, Time aAt, Time aNow,
              Step<VerdictChanged>& aStep);
  /// Whether the run began after a crash under the same content, so that its own crash confirms
  /// that the content is the cause.
  static bool IsConfirmation(const Request& aRequest, std::optional<Time> aSentAt);
  struct Counted {
    /// It was not known to have been running during another crash.
    bool m_isFirst = false;
    /// It is refused, and its run began after another crash.
    bool m_isConfirmed = false;
  };
  /// Counts the crash against one cause of a run.
  Counted Charge(const std::string& aFingerprint, const BackendServerId& aServer,
                 std::optional<Time> aSentAt, Time aNow, Step<VerdictChanged>& aStep);
  void ChargeParts(const CrashedRun& aRun, const BackendServerId& aServer, Time aNow,
                   Step<VerdictChanged>& aStep);
  void Confirm(const std::string& aFingerprint, Time aNow, Step<VerdictChanged>& aStep);
  /// Whether a cause of the run is known to crash servers.
  bool IsExplained(const CrashedRun& aRun, Time aNow) const;
  /// When the cause, or the part in any account, last ran well at any entry.
  std::optional<Time> ClearedAt(const std::string& aFingerprint) const;
  /// How many crashes lead to a refusal.
  std::size_t CrashesToRefuse(const std::string& aFingerprint, Time aNow) const;
  /// It runs well now. Returns whether it was taken for the cause of crashes, in some account.
  bool Clear(const std::string& aFingerprint, Time aNow, Step<VerdictChanged>& aStep);
  static void RefuseLonger(const std::string& aFingerprint, Request& aRequest,
                           std::size_t aRefusals, Time aAt, Step<VerdictChanged>& aStep);
  void Adopt(const CrashVerdict& aVerdict, Time aNow, Step<VerdictChanged>& aStep);
  /// Returns whether it was not known.
  bool AdoptClearance(const std::string& aFingerprint, Time aAt, Step<VerdictChanged>& aStep);
  void RememberCompletion(const std::string& aFingerprint, Time aNow);
  void ForgetOldestCompletion();
  /// When it last ran well at this entry; none if that was not lately.
  std::optional<Time> CompletedAt(const std::string& aFingerprint, Time aNow) const;
  /// Tells the other entries that it lately ran well at this one. Returns false if they know, or it
  /// did not.
  bool Contradict(const std::string& aFingerprint, Time aNow, Step<VerdictChanged>& aStep);
  /// The step for TrialDelay() after the cause's last refusal.
  Duration TrialStep(const Request& aRequest) const;
  void DropOne();
  void Expire(Time aNow);
  bool ReachesEveryMember() const { return m_members.size() <= m_settings.m_fanOut; }
  /// aEndsRefusal: it was refused here until now.
  void Queue(const std::string& aFingerprint, ChangeOrigin aOrigin, Time aNow,
             bool aEndsRefusal = false);
  /// How urgent it is to tell the change, in a fleet in which members pass on what is new.
  enum class Urgency : std::uint8_t { Relayed, Own, Repeated, Verdict };
  Urgency UrgencyOf(const PendingChange& aPending) const;
  /// Drops what is not worth telling any more, and moves the most urgent changes to the front.
  void SortPendingChanges(Time aNow);
  /// How many of the pending changes, the first ones, may be told now.
  std::size_t MaxChangesNow(Time aNow);
  /// Describes the requests in as few messages as the limits allow.
  std::vector<Message> Describe(const std::vector<std::string>& aFingerprints, Time aNow) const;
  void Describe(const std::string& aFingerprint, const Request& aRequest, Time aNow,
                CrashReports& aReports, CrashVerdicts& aVerdicts) const;
  Step<VerdictChanged> SendPendingChanges(Time aNow);
  Step<VerdictChanged> SendAntiEntropy(Time aNow);
  Step<VerdictChanged> SendEverythingTo(const std::vector<EntryId>& aMembers, Time aNow) const;

  CrashHistorySettings m_settings;
  Random m_random;
  std::vector<EntryId> m_members;
  std::map<std::string, Request> m_requests;
  std::uint64_t m_nextNumber = 0;
  /// What ran well and when, the latest last, and the same by fingerprint.
  Completions m_completions;
  std::unordered_map<std::string, Completions::iterator> m_completed;
  std::vector<PendingChange> m_pending;
  Time m_nextRound{};
  /// How many more requests may be told in a fleet in which members pass on what is new, and as of
  /// when. Only whole ones count.
  double m_relayCredit = 0.0;
  std::optional<Time> m_relayCreditAt;
  Time m_nextAntiEntropy{};
};

} // namespace fennelline

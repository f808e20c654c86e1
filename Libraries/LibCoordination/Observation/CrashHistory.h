#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibCoordination/Step.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fennelline {

struct CrashHistorySettings {
  /// A request that was running when this many different backend servers crashed is refused.
  std::size_t m_crashesToRefuse = 2;
  /// How long it is refused if its runs on the crashed servers overlapped. The crashes may then
  /// have had a common cause. With zero, a trial may follow at once.
  Duration m_overlapRefusalTime = Seconds(600);
  /// How long it is refused after a run that crashed a server although it began after another
  /// crash, and after the first trial, the second and so on. The last one is repeated.
  std::vector<Duration> m_refusalTimes = {Seconds(600)};
  /// How long a request that may be sent as a trial has for finding a server that accepts it.
  Duration m_trialSetupTime = Seconds(1);
  /// How long a crash is remembered, and a refusal after its end: at least as long as a caller may
  /// retry a request.
  Duration m_retention = Seconds(600);
  /// A request whose content ran to completion within this time is not taken for the cause of a
  /// crash. Zero if completions are not remembered.
  Duration m_completionMemory{0};
  std::size_t m_maxCompletions = 4096;
  /// Maximum number of remembered requests. Those that are not refused are dropped first, the
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
};

/// A run that was in progress on a backend server when that crashed.
struct CrashedRun {
  std::string m_fingerprint;
  /// When the request was sent to the server; none if unknown.
  std::optional<Time> m_sentAt;
};

/// Requests with this content are refused from now on, or were cleared.
struct VerdictChanged {
  std::string m_fingerprint;
  /// See CrashVerdict::m_refusals.
  std::size_t m_refusals = 0;
};

/// The permission of a request to be sent once although requests with its content were refused.
struct CrashTrial {
  /// Refusals of the content when the permission was given; 0 without one.
  std::size_t m_refusals = 0;
};

/// Records, across all entries, which requests were running when backend servers crashed, and
/// refuses those that probably caused it. Requests are identified by a fingerprint of their
/// content, so a new key or another entry makes no difference.
///
/// When a refusal has ended, one request in the fleet is sent once, as a trial, and the next,
/// longer refusal begins with the sending: whatever becomes of the trials, their number is bounded.
/// A request that runs to completion clears its content at all entries, because it was only running
/// alongside the one that crashed the servers. An entry where it did so lately contradicts the
/// others, so that a popular content is not refused for the crashes that its many runs are beside.
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
    return OnCrashes({{.m_fingerprint = aFingerprint, .m_sentAt = std::nullopt}}, aServer, aNow);
  }
  /// The runs were in progress on the backend server when that crashed.
  Step<VerdictChanged> OnCrashes(const std::vector<CrashedRun>& aRuns,
                                 const BackendServerId& aServer, Time aNow);
  /// The request ran to completion on some backend server.
  Step<VerdictChanged> OnFinished(const std::string& aFingerprint, Time aNow);
  Step<VerdictChanged> OnMessage(const EntryId& aFrom, const Message& aMessage, Time aNow);
  /// A durable record of a refusal was read. Its age is unknown, so it counts as new.
  Step<VerdictChanged> OnRecord(const std::string& aFingerprint, std::size_t aRefusals, Time aNow);
  /// Sets the live members other than this one.
  Step<VerdictChanged> OnMembers(const std::vector<EntryId>& aMembers, Time aNow);
  /// To be called at least every 100 ms.
  Step<VerdictChanged> Tick(Time aNow);

  /// Whether the request may be sent to a backend server now. Where a refusal has ended, aTrial
  /// receives the permission for a trial, and aStep the announcement to the other entries.
  bool MayRun(const std::string& aFingerprint, CrashTrial& aTrial, Time aNow,
              Step<VerdictChanged>& aStep);
  /// A server has accepted the trial.
  Step<VerdictChanged> OnTrialSent(const std::string& aFingerprint, const CrashTrial& aTrial,
                                   Time aNow);

  /// Whether the request is refused now.
  bool IsPoison(const std::string& aFingerprint, Time aNow) const;
  /// When the refusal ends; aNow if it has ended.
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
    /// Crashes of different servers before the first refusal.
    std::vector<Crash> m_crashes;
    std::size_t m_refusals = 0;
    /// When the last refusal began.
    Time m_refusedAt{};
    /// Until then, another request has the permission for a trial.
    Time m_trialUntil{};
    /// Crashes up to this time no longer count.
    std::optional<Time> m_clearedAt;
    /// Position in the order in which requests became known.
    std::uint64_t m_number = 0;

    bool IsClear() const { return m_crashes.empty() && m_refusals == 0; }
  };
  struct Completion {
    std::string m_fingerprint;
    Time m_at{};
  };
  struct PendingChange {
    std::string m_fingerprint;
    std::size_t m_roundsLeft = 0;
  };

  const Request* Find(const std::string& aFingerprint, Time aNow) const;
  Request& Insert(const std::string& aFingerprint);
  Time EndOfRefusal(const Request& aRequest) const;
  static Time LastChange(const Request& aRequest);
  Time ForgottenAt(const Request& aRequest) const;
  /// Records a crash that this entry or another one observed. Returns true if it was not known.
  bool Record(const std::string& aFingerprint, const BackendServerId& aServer, Time aAt, Time aNow,
              Step<VerdictChanged>& aStep);
  /// Whether the run began after a crash under the same content, so that its own crash confirms
  /// that the content is the cause.
  static bool IsConfirmation(const Request& aRequest, const CrashedRun& aRun);
  static void RefuseLonger(const std::string& aFingerprint, Request& aRequest,
                           std::size_t aRefusals, Time aAt, Step<VerdictChanged>& aStep);
  void Adopt(const CrashVerdict& aVerdict, Time aNow, Step<VerdictChanged>& aStep);
  void AdoptClearance(const std::string& aFingerprint, Time aAt, Step<VerdictChanged>& aStep);
  void RememberCompletion(const std::string& aFingerprint, Time aNow);
  void ForgetOldestCompletion();
  bool HasCompletedLately(const std::string& aFingerprint, Time aNow) const;
  /// Tells the other entries that requests with this content complete.
  void Contradict(const std::string& aFingerprint, Time aNow, Step<VerdictChanged>& aStep);
  void DropOne();
  void Expire(Time aNow);
  bool ReachesEveryMember() const { return m_members.size() <= m_settings.m_fanOut; }
  void Queue(const std::string& aFingerprint);
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
  /// When requests last ran to completion, and the same in the order of time.
  std::map<std::string, Time> m_completed;
  std::deque<Completion> m_completionOrder;
  std::vector<PendingChange> m_pending;
  Time m_nextRound{};
  Time m_nextAntiEntropy{};
};

} // namespace fennelline

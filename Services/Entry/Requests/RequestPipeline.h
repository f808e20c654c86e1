#pragma once

#include "LibCoordination/Observation/SuspectedCrashes.h"
#include "Services/Entry/EntryEffect.h"
#include "Services/Entry/EntryParts.h"
#include "Services/Entry/Requests/ActiveRequest.h"
#include "Services/Entry/Requests/ValidateRequest.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// Drives each open request from the caller to the backend servers and back. It is part of the
/// entry's reducer: it makes decisions and returns effects as data.
///
/// The steps of a request: validate; claim, if it may run only once; plan; admit; reserve spend;
/// agree on the session's version; send; judge the answer, if the cascade has a further step; claim
/// the bill, if the same key may have run elsewhere; copy the usage record; deliver.
class RequestPipeline {
public:
  explicit RequestPipeline(EntryParts& aParts)
    : m_parts(aParts) {}

  void OnCallerRequest(const CallerRequest& aRequest, Time aNow, EntryEffects& aEffects);
  void OnCallerGone(CallerId aCaller, Time aNow, EntryEffects& aEffects);

  void OnBackendAnswered(const BackendAnswered& aEvent, Time aNow);
  void OnBackendChunk(const BackendChunk& aEvent, Time aNow, EntryEffects& aEffects);
  void OnBackendFinished(const BackendFinished& aEvent, Time aNow, EntryEffects& aEffects);
  void OnBackendFailed(const BackendFailed& aEvent, Time aNow, EntryEffects& aEffects);
  /// A server refused a load poll: a call to it that broke shortly before counts as a crash.
  void OnServerUnreachable(const BackendServerId& aServer, Time aNow, EntryEffects& aEffects);
  /// A server was polled after a call to it failed, and it is known whether it runs: requests
  /// waiting for this check continue.
  void OnServerChecked(const BackendServerId& aServer, Time aNow, EntryEffects& aEffects);

  void OnClaimOutcomes(const std::vector<ClaimOutcomeReport>& aOutcomes, Time aNow,
                       EntryEffects& aEffects);
  void OnUsageHeld(const UsageOutcome& aHeld, Time aNow, EntryEffects& aEffects);
  void OnRating(const RatingArrived& aEvent, Time aNow, EntryEffects& aEffects);
  void OnTick(Time aNow, EntryEffects& aEffects);

  struct Counts {
    /// Keyed by "answered", "replayed" or a problem code.
    std::map<std::string, std::int64_t> m_outcomes;
    std::int64_t m_late = 0;
    double m_totalSeconds = 0.0;
  };
  const Counts& GetCounts() const { return m_counts; }
  std::size_t OpenCount() const { return m_requests.size(); }
  const std::unordered_map<CallerId, ActiveRequest>& Open() const { return m_requests; }

private:
  // Intake, in RequestPipeline.cpp.
  std::optional<Problem> RefuseBeforeValidation(Time aNow) const;
  ActiveRequest MakeActive(const CallerRequest& aRequest, const ValidRequest& aValid, Time aNow);
  std::optional<Problem> ReadSession(ActiveRequest& aActive) const;
  std::optional<Problem> CheckContent(const ActiveRequest& aActive, Time aNow) const;
  static bool NeedsClaim(const ActiveRequest& aActive);
  void Start(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void PlanAndSend(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  /// The request's roll-out draw, or one that selects the old version while too many answers of the
  /// new version have not been judged yet.
  double EffectiveRolloutDraw(const Configuration& aConfiguration,
                              const ActiveRequest& aActive) const;
  bool PlanModelWork(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  bool PlanServiceWork(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  bool Admit(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  /// The maximum cost of the request over all steps of its plan.
  std::int64_t MaxCost(const ActiveRequest& aActive) const;
  /// Reserves the spend and continues, waits for another budget slice, or rejects the request.
  void ReserveSpend(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void AfterReserve(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void Claim(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void SendFirst(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void RequestPin(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void OnPinOutcome(ActiveRequest& aActive, const ClaimOutcomeReport& aOutcome, Time aNow,
                    EntryEffects& aEffects);
  void OnRunOutcome(ActiveRequest& aActive, const ClaimOutcomeReport& aOutcome, Time aNow,
                    EntryEffects& aEffects);
  /// A request that was running when a server crashed is rerun at most once across all entries.
  bool NeedsSuspectClaim(const ActiveRequest& aActive, Time aNow) const;
  void RequestSuspectClaim(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void OnSuspectOutcome(ActiveRequest& aActive, const ClaimOutcomeReport& aOutcome, Time aNow,
                        EntryEffects& aEffects);
  void EndSuspectClaim(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void OnBillOutcome(ActiveRequest& aActive, const ClaimOutcomeReport& aOutcome, Time aNow,
                     EntryEffects& aEffects);

  // Claims for runs and sessions are in RequestClaims.cpp, those for suspects in
  // RequestSuspects.cpp.

  // Calls to backend servers, in RequestCalls.cpp.
  std::vector<const BackendServer*> EligibleServers(const ActiveRequest& aActive,
                                                    const std::string& aVersion) const;
  /// Reduces the servers to a bounded random sample.
  void Sample(std::vector<const BackendServer*>& aServers);
  std::optional<ReplicaChoice> ChooseServer(const ActiveRequest& aActive,
                                            const std::vector<const BackendServer*>& aServers,
                                            Time aNow);
  Duration EstimateWait(const ActiveRequest& aActive, const std::string& aVersion, Time aNow) const;
  /// Sends the request of the current plan step to a server.
  enum class SendResult : std::uint8_t {
    Sent,
    NoServer,
    /// The request was rejected during the call and no longer exists.
    Refused,
  };
  SendResult Send(ActiveRequest& aActive, bool aHedge, Time aNow, EntryEffects& aEffects);
  static CallBackend CallOf(const ActiveRequest& aActive, const RunningCall& aCall, Time aNow);
  void Resume(ActiveRequest& aActive, RunningCall& aCall, Time aNow, EntryEffects& aEffects);
  void EndCall(ActiveRequest& aActive, BackendCallId aCall, bool aFailed);
  void CancelCalls(ActiveRequest& aActive, BackendCallId aExcept, EntryEffects& aEffects);
  void AfterFailure(ActiveRequest& aActive, const BackendFailed& aEvent, Time aNow,
                    EntryEffects& aEffects);
  void RecordFailure(ActiveRequest& aActive, const RunningCall& aCall, const BackendFailed& aEvent,
                     Time aNow);
  void MaybeHedge(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  /// The caller IDs of open requests, in order of arrival.
  std::vector<CallerId> OpenCallerIds() const;
  ActiveRequest* FindByCall(BackendCallId aCall);
  static RunningCall* FindCall(ActiveRequest& aActive, BackendCallId aCall);

  // Answers, in RequestAnswers.cpp.
  void OnStepFinished(ActiveRequest& aActive, const RunningCall& aCall,
                      const BackendFinished& aEvent, Time aNow, EntryEffects& aEffects);
  /// Continues the cascade with its next version.
  void StartNextStep(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void BillAndDeliver(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void RecordUsage(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void Deliver(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void SendHead(ActiveRequest& aActive, const RunningCall& aCall, EntryEffects& aEffects) const;
  void Replay(ActiveRequest& aActive, const StoredAnswer& aAnswer, Time aNow,
              EntryEffects& aEffects);
  /// Ends a request immediately with a problem instead of an answer.
  void Refuse(ActiveRequest& aActive, const Problem& aProblem, Time aNow, EntryEffects& aEffects);
  /// Ends a request that ran out of time, with the answer of an earlier step if there is one.
  void GiveUp(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void SampleRating(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  /// Releases everything the request holds and removes it.
  void Forget(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void TickRequest(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects);
  void Count(const std::string& aOutcome, Duration aTime, bool aLate);
  static RequestIdentity RunSlot(const ActiveRequest& aActive);
  static RequestIdentity BillSlot(const ActiveRequest& aActive);
  static void RecordEvent(const ActiveRequest& aActive, std::string aName, std::string aVersion,
                          std::vector<std::pair<std::string, std::string>> aFields,
                          EntryEffects& aEffects);
  std::vector<std::pair<std::string, std::string>> AnswerHeaders(const ActiveRequest& aActive,
                                                                 const std::string& aVersion) const;

  struct RatingInFlight {
    CallerId m_judging = 0;
    std::string m_kind;
    std::string m_version;
    std::string m_session;
    Time m_askedAt{};
  };
  static constexpr Duration kCrashConfirmationWindow = Seconds(2);
  /// A broken call that counts as a crash if its server is found unreachable shortly after.
  struct SuspectedCrash {
    std::string m_fingerprint;
    BackendServerId m_server;
    std::string m_kind;
    std::string m_version;
    std::string m_session;
    Time m_sentAt{};
    Time m_at{};
  };

  EntryParts& m_parts;
  Counts m_counts;
  std::unordered_map<CallerId, ActiveRequest> m_requests;
  std::unordered_map<BackendCallId, CallerId> m_calls;
  std::unordered_map<std::uint64_t, RatingInFlight> m_ratings;
  SuspectedCrashes<SuspectedCrash> m_suspectedCrashes{kCrashConfirmationWindow};
  BackendCallId m_nextCall = 1;
  std::uint64_t m_nextRating = 1;
  std::uint64_t m_nextKey = 1;
};

} // namespace fennelline

#include "Services/Entry/Requests/RequestPipeline.h"

#include "LibDecision/PrefixHashes.h"
#include "Services/Entry/Emit.h"
#include "Services/Entry/Requests/AllowedVersions.h"

#include <algorithm>
#include <array>

namespace fennelline {

namespace {

constexpr Duration kStreamIdleTimeout = Seconds(2);
constexpr Duration kCrashCheckTimeout = Milliseconds(100);
constexpr Duration kRetryAfterFailure = Seconds(1);
constexpr int kMaxResumes = 4;
constexpr int kMaxCrashes = 2;
constexpr std::int64_t kMinSamplesToHedge = 20;

std::string ServiceVersion(const ActiveRequest& aActive) {
  return "service:" + aActive.m_request.m_service;
}

bool IsModelWork(const ActiveRequest& aActive) {
  return aActive.m_request.m_target == CallerRequest::Target::Model;
}

int PriorityOf(Urgency aUrgency) {
  switch (aUrgency) {
    case Urgency::Counter:
      return 2;
    case Urgency::Interactive:
      return 1;
    case Urgency::Background:
      return 0;
  }
  return 0;
}

ReplicaQuery QueryOf(const ActiveRequest& aActive, std::size_t aEntries) {
  ReplicaQuery query;
  query.m_inputTokens =
    static_cast<std::int64_t>(aActive.m_prefixHashes.size()) * kTokensPerPrefixBlock;
  query.m_outputTokens = aActive.m_request.m_mostOutputTokens;
  query.m_entryCount = static_cast<std::int64_t>(aEntries);
  query.m_jumpsQueue = aActive.m_kind.m_urgency == Urgency::Counter;
  return query;
}

/// Keeps the servers that satisfy a preference, unless there are none.
template<typename Preference>
void Prefer(std::vector<const BackendServer*>& aServers, const Preference& aPreference) {
  std::vector<const BackendServer*> preferred;
  std::copy_if(aServers.begin(), aServers.end(), std::back_inserter(preferred), aPreference);
  if (!preferred.empty()) {
    aServers = std::move(preferred);
  }
}

} // namespace

std::vector<const BackendServer*> RequestPipeline::EligibleServers(
  const ActiveRequest& aActive, const std::string& aVersion) const {
  std::vector<const BackendServer*> servers =
    IsModelWork(aActive) ? m_parts.m_backends.ForVersion(aVersion)
                         : m_parts.m_backends.ForService(aActive.m_request.m_service);
  std::erase_if(servers, [this](const BackendServer* aServer) {
    return !TakesNewWork(*aServer) || m_parts.m_membership.IsLeaving(aServer->m_id);
  });
  Prefer(servers, [&aActive](const BackendServer* aServer) {
    return !aActive.m_triedServers.contains(aServer->m_id);
  });
  // A request that was running during a crash is isolated from other such requests and from all
  // other work, so that another crash identifies the cause and affects few requests.
  Prefer(servers, [](const BackendServer* aServer) { return aServer->m_suspects == 0; });
  return servers;
}

void RequestPipeline::Sample(std::vector<const BackendServer*>& aServers) {
  if (aServers.size() <= kMaxReplicasConsidered) {
    return;
  }
  std::array<std::size_t, kMaxReplicasConsidered> indices{};
  const std::size_t count = SampleIndices(aServers.size(), indices, m_parts.m_random);
  std::vector<const BackendServer*> sample;
  for (std::size_t index = 0; index < count; ++index) {
    sample.push_back(aServers[indices[index]]);
  }
  aServers = std::move(sample);
}

std::optional<ReplicaChoice> RequestPipeline::ChooseServer(
  const ActiveRequest& aActive, const std::vector<const BackendServer*>& aServers, Time aNow) {
  std::vector<ReplicaView> views;
  views.reserve(aServers.size());
  for (const BackendServer* server : aServers) {
    ReplicaView view = ViewOf(*server, aNow);
    view.m_cachedPrefixTokens =
      m_parts.m_prefixes.CachedTokens(server->m_id, aActive.m_prefixHashes);
    views.push_back(view);
  }
  return ChooseReplica(QueryOf(aActive, m_parts.m_liveEntries), views, m_parts.m_random);
}

Duration RequestPipeline::EstimateWait(const ActiveRequest& aActive, const std::string& aVersion,
                                       Time aNow) const {
  const std::vector<const BackendServer*> servers = EligibleServers(aActive, aVersion);
  const ReplicaQuery query = QueryOf(aActive, m_parts.m_liveEntries);
  Duration least = Seconds(0);
  bool found = false;
  const std::size_t count = std::min(servers.size(), kMaxReplicasConsidered);
  for (std::size_t index = 0; index < count; ++index) {
    const Duration wait = ExpectedWait(ViewOf(*servers[index], aNow), query);
    least = found ? std::min(least, wait) : wait;
    found = true;
  }
  return least;
}

RequestPipeline::SendResult RequestPipeline::Send(ActiveRequest& aActive, bool aHedge, Time aNow,
                                                  EntryEffects& aEffects) {
  std::string version = aActive.m_plan.m_steps[aActive.m_step].m_version;
  const std::shared_ptr<const Configuration> configuration = m_parts.m_configuration.Current();
  const bool allowed = !IsModelWork(aActive) ||
                       MaySendTo(*configuration, aActive.m_identity.m_customer,
                                 aActive.m_kind.m_name, version, !aActive.m_pinnedVersion.empty());
  if (!allowed) {
    // The version became unavailable after the plan was made.
    if (aHedge || !PlanModelWork(aActive, aNow, aEffects)) {
      return aHedge ? SendResult::NoServer : SendResult::Refused;
    }
    version = aActive.m_plan.m_steps.front().m_version;
  }
  std::vector<const BackendServer*> servers = EligibleServers(aActive, version);
  Sample(servers);
  const std::optional<ReplicaChoice> choice = ChooseServer(aActive, servers, aNow);
  if (!choice) {
    return SendResult::NoServer;
  }
  if (aActive.m_claim && !m_parts.m_claims.MaySend(RunSlot(aActive), *aActive.m_claim, aNow)) {
    return SendResult::NoServer;
  }
  const BackendServer& server = *servers[choice->m_index];
  RunningCall call;
  call.m_id = m_nextCall++;
  call.m_attempt = m_parts.m_self + "/" + std::to_string(call.m_id);
  call.m_version = version;
  call.m_address = server.m_address;
  call.m_hedge = aHedge;
  call.m_work = {.m_server = server.m_id,
                 .m_tokens = aActive.m_request.m_mostOutputTokens,
                 .m_sentAt = aNow,
                 .m_suspect = aActive.m_crashes > 0};
  const auto exposure = m_parts.m_exposures.find(version);
  if (exposure != m_parts.m_exposures.end()) {
    exposure->second.m_sent += 1;
  }
  aActive.m_sent = true;
  aActive.m_lastServer = server.m_id;
  aActive.m_triedServers.insert(server.m_id);
  m_parts.m_backends.OnSent(call.m_work);
  m_parts.m_prefixes.OnSent(server.m_id, aActive.m_prefixHashes);
  m_calls[call.m_id] = aActive.m_request.m_caller;
  aEffects.emplace_back(CallOf(aActive, call, aNow));
  RecordEvent(aActive, "request.sent", version, {{"server", server.m_id}}, aEffects);
  aActive.m_calls.push_back(std::move(call));
  return SendResult::Sent;
}

CallBackend RequestPipeline::CallOf(const ActiveRequest& aActive, const RunningCall& aCall,
                                    Time aNow) {
  const CallerRequest& request = aActive.m_request;
  CallBackend effect;
  effect.m_call = aCall.m_id;
  effect.m_backendServer = aCall.m_work.m_server;
  effect.m_address = aCall.m_address;
  effect.m_path = IsModelWork(aActive)
                    ? "/v1/chat/completions"
                    : "/v1/services/" + request.m_service + "/" + request.m_operation;
  effect.m_body = request.m_body;
  effect.m_attempt = aCall.m_attempt;
  effect.m_version = aCall.m_version;
  effect.m_priority = PriorityOf(aActive.m_kind.m_urgency);
  effect.m_stream = request.m_stream;
  effect.m_resumeAfter = aCall.m_lastEvent;
  effect.m_timeout = aActive.m_deadline - aNow;
  effect.m_silence = std::min(effect.m_timeout, kStreamIdleTimeout);
  return effect;
}

void RequestPipeline::Resume(ActiveRequest& aActive, RunningCall& aCall, Time aNow,
                             EntryEffects& aEffects) {
  // The resumed stream gets a new call ID, so that late events of the old connection are not
  // attributed to the new one.
  m_calls.erase(aCall.m_id);
  aCall.m_id = m_nextCall++;
  aCall.m_resumes += 1;
  m_calls[aCall.m_id] = aActive.m_request.m_caller;
  CallBackend effect = CallOf(aActive, aCall, aNow);
  effect.m_resume = true;
  aEffects.emplace_back(std::move(effect));
  RecordEvent(aActive, "request.resumed", aCall.m_version, {{"server", aCall.m_work.m_server}},
              aEffects);
}

ActiveRequest* RequestPipeline::FindByCall(BackendCallId aCall) {
  const auto caller = m_calls.find(aCall);
  if (caller == m_calls.end()) {
    return nullptr;
  }
  const auto request = m_requests.find(caller->second);
  return request == m_requests.end() ? nullptr : &request->second;
}

RunningCall* RequestPipeline::FindCall(ActiveRequest& aActive, BackendCallId aCall) {
  const auto found =
    std::find_if(aActive.m_calls.begin(), aActive.m_calls.end(),
                 [aCall](const RunningCall& aItem) { return aItem.m_id == aCall; });
  return found == aActive.m_calls.end() ? nullptr : &*found;
}

void RequestPipeline::EndCall(ActiveRequest& aActive, BackendCallId aCall, bool aFailed) {
  const RunningCall* call = FindCall(aActive, aCall);
  if (call == nullptr) {
    return;
  }
  m_parts.m_backends.OnEnded(call->m_work, aFailed);
  m_calls.erase(aCall);
  std::erase_if(aActive.m_calls, [aCall](const RunningCall& aItem) { return aItem.m_id == aCall; });
}

void RequestPipeline::CancelCalls(ActiveRequest& aActive, BackendCallId aExcept,
                                  EntryEffects& aEffects) {
  std::vector<BackendCallId> cancelled;
  for (const RunningCall& call : aActive.m_calls) {
    if (call.m_id == aExcept) {
      continue;
    }
    cancelled.push_back(call.m_id);
    aEffects.emplace_back(CancelBackend{.m_call = call.m_id,
                                        .m_backendServer = call.m_work.m_server,
                                        .m_address = call.m_address,
                                        .m_attempt = call.m_attempt});
  }
  for (const BackendCallId call : cancelled) {
    EndCall(aActive, call, false);
  }
}

void RequestPipeline::OnBackendAnswered(const BackendAnswered& aEvent, Time aNow) {
  ActiveRequest* active = FindByCall(aEvent.m_call);
  if (active == nullptr) {
    return;
  }
  RunningCall* call = FindCall(*active, aEvent.m_call);
  call->m_answered = true;
  call->m_status = aEvent.m_status;
  call->m_contentType = aEvent.m_contentType;
  if (!active->m_request.m_stream) {
    call->m_firstByte = std::min(call->m_firstByte, aNow);
  }
}

void RequestPipeline::OnBackendChunk(const BackendChunk& aEvent, Time aNow,
                                     EntryEffects& aEffects) {
  ActiveRequest* active = FindByCall(aEvent.m_call);
  if (active == nullptr) {
    return;
  }
  RunningCall* call = FindCall(*active, aEvent.m_call);
  call->m_firstByte = std::min(call->m_firstByte, aNow);
  call->m_tokens += aEvent.m_tokens;
  if (!active->m_request.m_stream) {
    call->m_body += aEvent.m_bytes;
    return;
  }
  if (aEvent.m_eventNumber != 0 && aEvent.m_eventNumber <= call->m_lastEvent) {
    return;
  }
  call->m_lastEvent = aEvent.m_eventNumber;
  if (!active->m_headSent) {
    // The caller receives the stream of the first call that produces text.
    const BackendCallId chosen = call->m_id;
    CancelCalls(*active, chosen, aEffects);
    call = FindCall(*active, chosen);
    SendHead(*active, *call, aEffects);
  }
  active->m_answer.m_body += aEvent.m_bytes;
  aEffects.emplace_back(
    AnswerChunk{.m_caller = active->m_request.m_caller, .m_bytes = aEvent.m_bytes});
}

void RequestPipeline::OnBackendFinished(const BackendFinished& aEvent, Time aNow,
                                        EntryEffects& aEffects) {
  ActiveRequest* active = FindByCall(aEvent.m_call);
  if (active == nullptr) {
    return;
  }
  const RunningCall call = *FindCall(*active, aEvent.m_call);
  const bool otherVersion = !aEvent.m_version.empty() && aEvent.m_version != call.m_version;
  if (otherVersion) {
    OnBackendFailed({.m_call = aEvent.m_call,
                     .m_failure = BackendFailure::ServerError,
                     .m_detail = "the server ran version " + aEvent.m_version},
                    aNow, aEffects);
    return;
  }
  CancelCalls(*active, aEvent.m_call, aEffects);
  EndCall(*active, aEvent.m_call, false);
  Emit(m_parts.m_crashes.OnFinished({.m_content = active->m_fingerprint, .m_parts = {}}, aNow),
       aEffects);
  AnswerObservation observation;
  observation.m_firstToken =
    (call.m_firstByte == kNever ? aNow : call.m_firstByte) - call.m_work.m_sentAt;
  observation.m_total = aNow - call.m_work.m_sentAt;
  observation.m_inputTokens = aEvent.m_inputTokens;
  observation.m_outputTokens = aEvent.m_outputTokens;
  const std::string version = IsModelWork(*active) ? call.m_version : ServiceVersion(*active);
  m_parts.m_estimates.Observe(active->m_kind.m_name, version, observation, aNow);
  OnStepFinished(*active, call, aEvent, aNow, aEffects);
}

void RequestPipeline::OnBackendFailed(const BackendFailed& aEvent, Time aNow,
                                      EntryEffects& aEffects) {
  ActiveRequest* active = FindByCall(aEvent.m_call);
  if (active == nullptr) {
    return;
  }
  RunningCall* call = FindCall(*active, aEvent.m_call);
  const bool mayResume = active->m_request.m_stream && call->m_resumes < kMaxResumes &&
                         aEvent.m_failure == BackendFailure::Broken && aNow < active->m_deadline;
  if (mayResume) {
    Resume(*active, *call, aNow, aEffects);
    return;
  }
  RecordFailure(*active, *call, aEvent, aNow);
  RecordEvent(*active, "request.call-failed", call->m_version,
              {{"server", call->m_work.m_server}, {"detail", aEvent.m_detail}}, aEffects);
  EndCall(*active, aEvent.m_call, true);
  if (!active->m_calls.empty()) {
    return;
  }
  const bool mayBeCrash =
    aEvent.m_failure == BackendFailure::Broken || aEvent.m_failure == BackendFailure::StreamLost;
  if (mayBeCrash) {
    // A crash must be announced to the other entries before this request is sent anywhere else, and
    // before its caller can retry it at another entry.
    active->m_phase = RequestPhase::AwaitingCrashCheck;
    active->m_failure = aEvent;
    active->m_crashCheckDeadline = aNow + kCrashCheckTimeout;
    return;
  }
  AfterFailure(*active, aEvent, aNow, aEffects);
}

void RequestPipeline::OnServerChecked(const BackendServerId& aServer, Time aNow,
                                      EntryEffects& aEffects) {
  for (const CallerId caller : OpenCallerIds()) {
    const auto found = m_requests.find(caller);
    const bool waits = found != m_requests.end() &&
                       found->second.m_phase == RequestPhase::AwaitingCrashCheck &&
                       found->second.m_lastServer == aServer;
    if (waits) {
      AfterFailure(found->second, BackendFailed(found->second.m_failure), aNow, aEffects);
    }
  }
}

void RequestPipeline::RecordFailure(ActiveRequest& aActive, const RunningCall& aCall,
                                    const BackendFailed& aEvent, Time aNow) {
  const bool mayHaveRun =
    aEvent.m_failure != BackendFailure::NotSent && aEvent.m_failure != BackendFailure::Refused;
  if (!mayHaveRun) {
    return;
  }
  const std::string cluster =
    aActive.m_sessionName.empty() ? aActive.m_identity.m_key : aActive.m_sessionName;
  if (IsModelWork(aActive)) {
    m_parts.m_evidence.OnAnswer(aCall.m_version, aActive.m_kind.m_name, cluster,
                                AnswerEvidence{.m_error = true}, aNow);
  }
  if (aEvent.m_failure == BackendFailure::Broken ||
      aEvent.m_failure == BackendFailure::StreamLost) {
    aActive.m_crashes += 1;
    m_suspectedCrashes.Add({.m_fingerprint = aActive.m_fingerprint,
                            .m_server = aCall.m_work.m_server,
                            .m_kind = aActive.m_kind.m_name,
                            .m_version = aCall.m_version,
                            .m_session = cluster,
                            .m_sentAt = aCall.m_work.m_sentAt,
                            .m_at = aNow});
  }
}

void RequestPipeline::OnServerUnreachable(const BackendServerId& aServer, Time aNow,
                                          EntryEffects& aEffects) {
  std::vector<CrashedRun> runs;
  for (const SuspectedCrash& suspicion : m_suspectedCrashes.Confirm(aServer, aNow)) {
    runs.push_back({.m_causes = {.m_content = suspicion.m_fingerprint, .m_parts = {}},
                    .m_sentAt = suspicion.m_sentAt});
    if (!suspicion.m_version.empty()) {
      m_parts.m_evidence.OnAnswer(suspicion.m_version, suspicion.m_kind, suspicion.m_session,
                                  AnswerEvidence{.m_crash = true}, aNow);
    }
  }
  Emit(m_parts.m_crashes.OnCrashes(runs, aServer, aNow), aEffects);
}

void RequestPipeline::AfterFailure(ActiveRequest& aActive, const BackendFailed& aEvent, Time aNow,
                                   EntryEffects& aEffects) {
  const bool surelyNotRun =
    aEvent.m_failure == BackendFailure::NotSent || aEvent.m_failure == BackendFailure::Refused;
  if (surelyNotRun && aActive.m_claim) {
    m_parts.m_claims.MarkNotSent(RunSlot(aActive), *aActive.m_claim);
  }
  if (!surelyNotRun) {
    aActive.m_mayHaveRun = true;
  }
  if (aActive.m_headSent) {
    Refuse(aActive,
           Problem{.m_code = ProblemCode::StreamBroken,
                   .m_ran = Ran::Yes,
                   .m_detail = "the stream broke and cannot be resumed: " + aEvent.m_detail},
           aNow, aEffects);
    return;
  }
  const bool mayRunAgain = surelyNotRun || aActive.m_idempotent;
  const bool poison =
    aActive.m_crashes >= kMaxCrashes || m_parts.m_crashes.IsPoison(aActive.m_fingerprint, aNow);
  const bool inTime = aNow + aActive.m_expectedTime < aActive.m_deadline;
  if (mayRunAgain && !poison && inTime && m_parts.m_retryBudget.TrySpend()) {
    if (NeedsSuspectClaim(aActive, aNow)) {
      RequestSuspectClaim(aActive, aNow, aEffects);
      return;
    }
    const SendResult result = Send(aActive, false, aNow, aEffects);
    if (result != SendResult::NoServer) {
      return;
    }
    m_parts.m_retryBudget.Refund();
  }
  const ProblemCode code = surelyNotRun ? ProblemCode::NoBackendServer
                           : poison     ? ProblemCode::CrashesBackendServers
                                        : ProblemCode::BackendFailed;
  Refuse(aActive,
         Problem{.m_code = code,
                 .m_ran = aActive.m_mayHaveRun ? Ran::Unknown : Ran::No,
                 .m_detail = aEvent.m_detail,
                 .m_retryAfter = poison ? Duration{0} : kRetryAfterFailure},
         aNow, aEffects);
}

void RequestPipeline::MaybeHedge(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const bool candidate = aActive.m_idempotent && !aActive.m_hedged && !aActive.m_headSent &&
                         aActive.m_calls.size() == 1 && aActive.m_crashes == 0;
  if (!candidate) {
    return;
  }
  const RunningCall& call = aActive.m_calls.front();
  const std::string version = IsModelWork(aActive) ? call.m_version : ServiceVersion(aActive);
  const VersionEstimate estimate = m_parts.m_estimates.Get(aActive.m_kind.m_name, version, 0.0);
  if (estimate.m_samples < kMinSamplesToHedge || call.m_firstByte != kNever) {
    return;
  }
  HedgeQuery query;
  query.m_idempotent = true;
  query.m_elapsed = aNow - call.m_work.m_sentAt;
  const double spread = 1.0 + 2.0 * estimate.m_timeSpread;
  query.m_usualFirstByte = Duration(
    static_cast<std::int64_t>(static_cast<double>(estimate.m_firstToken.count()) * spread));
  query.m_timeLeft = aActive.m_deadline - aNow;
  query.m_expectedTime = aActive.m_expectedTime;
  query.m_poolFree = aActive.m_poolFree;
  if (!ShouldHedge(query) || !m_parts.m_retryBudget.TrySpend()) {
    return;
  }
  aActive.m_hedged = true;
  if (Send(aActive, true, aNow, aEffects) != SendResult::Sent) {
    m_parts.m_retryBudget.Refund();
  }
}

} // namespace fennelline

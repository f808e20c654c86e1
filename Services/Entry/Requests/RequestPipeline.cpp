#include "Services/Entry/Requests/RequestPipeline.h"

#include "LibBase/Sha256.h"
#include "LibBase/StableHash.h"
#include "LibDecision/PrefixHashes.h"
#include "Services/Entry/Requests/AllowedVersions.h"

#include <algorithm>

namespace fennelline {

namespace {

constexpr Duration kRetryAfterStart = Seconds(1);
constexpr Duration kRetryAfterCutOff = Seconds(3);
constexpr Duration kRetryAfterNoServer = Seconds(1);
constexpr Duration kRetryAfterSpend = Seconds(60);
constexpr Duration kMaxSpendWait = Milliseconds(1'500);
constexpr std::int64_t kCharactersPerToken = 4;
constexpr double kExploreShare = 0.02;

/// A deterministic hash of the text to [0, 1), the same on every entry.
double DrawOf(const std::string& aText) {
  constexpr double kTwoTo64 = 0x1.0p64;
  return static_cast<double>(StableHash(aText)) / kTwoTo64;
}

std::int64_t TokensOf(const std::string& aText) {
  return static_cast<std::int64_t>(aText.size()) / kCharactersPerToken + 1;
}

ProblemCode CodeOf(AdmissionVerdict aVerdict) {
  switch (aVerdict) {
    case AdmissionVerdict::OverShare:
      return ProblemCode::OverShare;
    case AdmissionVerdict::LessUrgent:
      return ProblemCode::LessUrgent;
    default:
      return ProblemCode::CannotFinishInTime;
  }
}

} // namespace

std::optional<Problem> RequestPipeline::RefuseBeforeValidation(Time aNow) const {
  if (aNow >= m_parts.m_refuseFrom) {
    return Refusal(ProblemCode::Leaving, "this entry is leaving; ask for the list of entries",
                   kRetryAfterStart);
  }
  if (m_parts.m_usage.IsFull()) {
    return Refusal(ProblemCode::UsageUnsettled,
                   "too much usage waits for the platform to come back", kRetryAfterCutOff);
  }
  switch (m_parts.m_configuration.Status(aNow)) {
    case ConfigurationStatus::Starting:
      return Refusal(ProblemCode::Starting, "no configuration is in force here yet",
                     kRetryAfterStart);
    case ConfigurationStatus::CutOff:
      return Refusal(ProblemCode::CutOff, "neither the platform nor any peer can be reached",
                     kRetryAfterCutOff);
    case ConfigurationStatus::Current:
    case ConfigurationStatus::PlatformDownForAll:
      return std::nullopt;
  }
  return std::nullopt;
}

void RequestPipeline::OnCallerRequest(const CallerRequest& aRequest, Time aNow,
                                      EntryEffects& aEffects) {
  m_parts.m_retryBudget.OnRequest();
  ActiveRequest rejected{.m_request = aRequest, .m_arrival = aNow, .m_deadline = aNow};
  if (std::optional<Problem> problem = RefuseBeforeValidation(aNow)) {
    // It is not known here whether the operation is idempotent, and an earlier attempt with the
    // same key may have run.
    const bool mayHaveRun =
      aRequest.m_target == CallerRequest::Target::Service && !aRequest.m_idempotencyKey.empty();
    problem->m_ran = mayHaveRun ? Ran::Unknown : Ran::No;
    Refuse(rejected, *problem, aNow, aEffects);
    return;
  }
  const std::shared_ptr<const Configuration> configuration = m_parts.m_configuration.Current();
  const Validation validation = ValidateRequest(*configuration, aRequest);
  if (const Problem* problem = std::get_if<Problem>(&validation)) {
    Refuse(rejected, *problem, aNow, aEffects);
    return;
  }
  ActiveRequest& active = m_requests[aRequest.m_caller];
  active = MakeActive(aRequest, std::get<ValidRequest>(validation), aNow);
  std::optional<Problem> problem = ReadSession(active);
  if (!problem) {
    problem = CheckContent(active, aNow);
  }
  if (problem) {
    Refuse(active, *problem, aNow, aEffects);
    return;
  }
  Start(active, aNow, aEffects);
}

ActiveRequest RequestPipeline::MakeActive(const CallerRequest& aRequest, const ValidRequest& aValid,
                                          Time aNow) {
  ActiveRequest active;
  active.m_request = aRequest;
  active.m_hasIdempotencyKey = !aRequest.m_idempotencyKey.empty();
  active.m_identity.m_customer = aValid.m_contract->m_customer;
  active.m_identity.m_key = active.m_hasIdempotencyKey
                              ? aRequest.m_idempotencyKey
                              : m_parts.m_self + "/" + std::to_string(m_nextKey++);
  active.m_kind = *aValid.m_kind;
  active.m_share = aValid.m_contract->m_share;
  if (aValid.m_operation != nullptr) {
    active.m_idempotent = aValid.m_operation->m_idempotent;
    active.m_operationCostMicros = aValid.m_operation->m_costMicros;
  }
  const std::string path = aRequest.m_service + "/" + aRequest.m_operation + "\n";
  active.m_bodyHash = Sha256Hex(path + aRequest.m_kind + "\n" + aRequest.m_body);
  active.m_fingerprint =
    Sha256Hex(path + aRequest.m_prompt + (aRequest.m_prompt.empty() ? aRequest.m_body : ""));
  active.m_arrival = aNow;
  active.m_deadline = aNow + aValid.m_deadline;
  active.m_prefixHashes = PrefixHashes(aRequest.m_prompt);
  return active;
}

std::optional<Problem> RequestPipeline::ReadSession(ActiveRequest& aActive) const {
  const std::string& text = aActive.m_request.m_session;
  if (SessionTokens::LooksLikeToken(text)) {
    Result<SessionToken> token =
      m_parts.m_sessionTokens.Verify(aActive.m_identity.m_customer, text);
    if (token.IsError()) {
      return Refusal(ProblemCode::InvalidSession, token.GetError().m_detail, Duration{0});
    }
    aActive.m_sessionName = token.Get().m_name;
    aActive.m_pinnedVersion = token.Get().m_version;
  } else {
    aActive.m_sessionName = text;
  }
  const std::string drawn =
    aActive.m_sessionName.empty() ? aActive.m_identity.m_key : aActive.m_sessionName;
  aActive.m_rolloutDraw = DrawOf(aActive.m_identity.m_customer + "\n" + drawn);
  return std::nullopt;
}

std::optional<Problem> RequestPipeline::CheckContent(const ActiveRequest& aActive,
                                                     Time aNow) const {
  if (!m_parts.m_crashes.IsPoison(aActive.m_fingerprint, aNow)) {
    return std::nullopt;
  }
  // The request may itself have crashed servers under this key, so "no" would not be certain.
  return Problem{.m_code = ProblemCode::CrashesBackendServers,
                 .m_ran = Ran::Unknown,
                 .m_detail = "requests with this content crashed two backend servers"};
}

bool RequestPipeline::NeedsClaim(const ActiveRequest& aActive) {
  return aActive.m_hasIdempotencyKey && !aActive.m_idempotent;
}

void RequestPipeline::Start(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  // The claim comes first: once it is granted, the request is known not to have run under this key
  // before, so a later rejection may guarantee that it did not run.
  if (NeedsClaim(aActive)) {
    Claim(aActive, aNow, aEffects);
    return;
  }
  PlanAndSend(aActive, aNow, aEffects);
}

void RequestPipeline::PlanAndSend(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const bool isModel = aActive.m_request.m_target == CallerRequest::Target::Model;
  const bool planned =
    isModel ? PlanModelWork(aActive, aNow, aEffects) : PlanServiceWork(aActive, aNow, aEffects);
  if (!planned) {
    return;
  }
  if (Admit(aActive, aNow, aEffects)) {
    ReserveSpend(aActive, aNow, aEffects);
  }
}

double RequestPipeline::EffectiveRolloutDraw(const Configuration& aConfiguration,
                                             const ActiveRequest& aActive) const {
  constexpr double kDrawForOldVersion = 1.0;
  for (const Rollout& rollout : aConfiguration.m_rollouts) {
    const bool isFirstStep = rollout.m_state == RolloutState::Running && rollout.m_step == 0;
    const auto exposure = m_parts.m_exposures.find(rollout.m_to);
    if (!isFirstStep || exposure == m_parts.m_exposures.end()) {
      continue;
    }
    const ExposureCount& count = exposure->second;
    if (!MayExpose(ExposureGatePlan{}, count.m_sent - count.m_judged, count.m_judged,
                   m_parts.m_liveEntries)) {
      return kDrawForOldVersion;
    }
  }
  return aActive.m_rolloutDraw;
}

bool RequestPipeline::PlanModelWork(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const std::shared_ptr<const Configuration> configuration = m_parts.m_configuration.Current();
  const Contract* contract = FindContract(*configuration, aActive.m_identity.m_customer);
  if (contract == nullptr) {
    Refuse(aActive, Refusal(ProblemCode::BadKey, "the contract has ended", Duration{0}), aNow,
           aEffects);
    return false;
  }
  const VersionSelector wish{.m_model = aActive.m_request.m_model,
                             .m_pinned = aActive.m_pinnedVersion,
                             .m_rolloutDraw = EffectiveRolloutDraw(*configuration, aActive)};
  const std::vector<const ModelVersion*> allowed =
    AllowedVersions(*configuration, *contract, aActive.m_kind, wish);
  if (allowed.empty()) {
    const bool pinned = !aActive.m_pinnedVersion.empty();
    Refuse(aActive,
           pinned ? Refusal(ProblemCode::VersionRevoked,
                            "the session's version " + aActive.m_pinnedVersion +
                              " is no longer available; start a new session",
                            Duration{0})
                  : Refusal(ProblemCode::VersionNotAllowed, "no allowed version takes new work",
                            kRetryAfterNoServer),
           aNow, aEffects);
    return false;
  }
  std::vector<VersionCandidate> candidates;
  for (const ModelVersion* version : allowed) {
    if (!m_parts.m_backends.HasLiveServer(version->m_name)) {
      continue;
    }
    candidates.push_back({.m_version = version->m_name,
                          .m_estimate = m_parts.m_estimates.Get(
                            aActive.m_kind.m_name, version->m_name, version->m_priorQuality),
                          .m_inputMicrosPer1000Tokens = version->m_inputMicrosPer1000Tokens,
                          .m_outputMicrosPer1000Tokens = version->m_outputMicrosPer1000Tokens,
                          .m_expectedWait = EstimateWait(aActive, version->m_name, aNow)});
  }
  const bool hasSession = !aActive.m_sessionName.empty();
  PlanQuery query;
  query.m_qualityTarget = aActive.m_kind.m_qualityTarget;
  query.m_timeLeft = aActive.m_deadline - aNow;
  query.m_inputTokens = TokensOf(aActive.m_request.m_prompt);
  query.m_mostOutputTokens = aActive.m_request.m_mostOutputTokens;
  query.m_judgeTime = m_parts.m_judgeTime;
  query.m_mayCascade = !aActive.m_request.m_stream && !hasSession;
  query.m_exploreShare = hasSession ? 0.0 : kExploreShare;
  PlanResult result = MakePlan(query, candidates, m_parts.m_random);
  if (!result.m_plan) {
    const bool late = result.m_refusal == PlanRefusal::CannotFinishInTime;
    Refuse(aActive,
           late ? Refusal(ProblemCode::CannotFinishInTime, "no version would finish in time",
                          kRetryAfterNoServer)
                : Refusal(ProblemCode::NoBackendServer, "no backend server runs an allowed version",
                          kRetryAfterNoServer),
           aNow, aEffects);
    return false;
  }
  aActive.m_plan = std::move(*result.m_plan);
  aActive.m_step = 0;
  const auto chosen = std::find_if(candidates.begin(), candidates.end(), [&](const auto& aItem) {
    return aItem.m_version == aActive.m_plan.m_steps.front().m_version;
  });
  aActive.m_expectedWait = chosen->m_expectedWait;
  const double outputTokens = std::max(chosen->m_estimate.m_outputTokens, 1.0);
  aActive.m_expectedTime =
    chosen->m_expectedWait + chosen->m_estimate.m_firstToken +
    Duration(static_cast<std::int64_t>(outputTokens *
                                       static_cast<double>(chosen->m_estimate.m_perToken.count())));
  return true;
}

bool RequestPipeline::PlanServiceWork(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const std::string& service = aActive.m_request.m_service;
  const std::vector<const BackendServer*> servers = m_parts.m_backends.ForService(service);
  const bool anyLive = std::any_of(servers.begin(), servers.end(),
                                   [](const auto* aServer) { return TakesNewWork(*aServer); });
  if (!anyLive) {
    Refuse(aActive,
           Refusal(ProblemCode::NoBackendServer, "no backend server runs service " + service,
                   kRetryAfterNoServer),
           aNow, aEffects);
    return false;
  }
  const VersionEstimate estimate =
    m_parts.m_estimates.Get(aActive.m_kind.m_name, "service:" + service, 1.0);
  aActive.m_plan.m_steps = {
    {.m_version = "", .m_giveUpAfter = aActive.m_deadline - aActive.m_arrival}};
  aActive.m_plan.m_reason = "the operation has one service";
  aActive.m_expectedWait = EstimateWait(aActive, "", aNow);
  aActive.m_expectedTime =
    (estimate.m_samples > 0 ? estimate.m_firstToken : Duration{0}) + aActive.m_expectedWait;
  return true;
}

bool RequestPipeline::Admit(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const std::string& version = aActive.m_plan.m_steps.front().m_version;
  const std::vector<const BackendServer*> servers =
    version.empty() ? m_parts.m_backends.ForService(aActive.m_request.m_service)
                    : m_parts.m_backends.ForVersion(version);
  double slots = 0.0;
  double busy = 0.0;
  for (const BackendServer* server : servers) {
    if (!TakesNewWork(*server)) {
      continue;
    }
    slots += static_cast<double>(server->m_slots);
    busy +=
      static_cast<double>(server->m_runningRequests + server->m_queued + server->m_sentSinceReport);
  }
  AdmissionQuery query;
  query.m_pool = version.empty() ? "service:" + aActive.m_request.m_service : version;
  query.m_customer = aActive.m_identity.m_customer;
  query.m_share = aActive.m_share;
  query.m_urgency = aActive.m_kind.m_urgency;
  query.m_timeLeft = aActive.m_deadline - aNow;
  query.m_expectedTime = aActive.m_expectedTime;
  query.m_work = std::max(InSeconds(aActive.m_expectedTime - aActive.m_expectedWait), 0.001);
  query.m_poolFree = slots > 0.0 ? std::clamp(1.0 - busy / slots, 0.0, 1.0) : 0.0;
  query.m_poolSlots = slots / static_cast<double>(std::max<std::size_t>(m_parts.m_liveEntries, 1));
  aActive.m_poolFree = query.m_poolFree;
  const AdmissionDecision decision = m_parts.m_admission.Decide(query, aNow);
  if (decision.m_verdict != AdmissionVerdict::Admitted) {
    Refuse(aActive,
           Refusal(CodeOf(decision.m_verdict), "the pool " + query.m_pool + " is short of capacity",
                   decision.m_retryAfter),
           aNow, aEffects);
    return false;
  }
  aActive.m_admitted = true;
  aActive.m_admittedPool = query.m_pool;
  aActive.m_admittedWork = query.m_work;
  return true;
}

std::int64_t RequestPipeline::MaxCost(const ActiveRequest& aActive) const {
  constexpr std::int64_t kTokensPerPrice = 1'000;
  const std::shared_ptr<const Configuration> configuration = m_parts.m_configuration.Current();
  std::int64_t most = aActive.m_operationCostMicros;
  for (const PlanStep& step : aActive.m_plan.m_steps) {
    const ModelVersion* version = FindVersion(*configuration, step.m_version);
    if (version == nullptr) {
      continue;
    }
    const std::int64_t input = TokensOf(aActive.m_request.m_prompt) + kTokensPerPrice;
    most += (input * version->m_inputMicrosPer1000Tokens +
             aActive.m_request.m_mostOutputTokens * version->m_outputMicrosPer1000Tokens) /
            kTokensPerPrice;
  }
  return most;
}

void RequestPipeline::ReserveSpend(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const std::string& customer = aActive.m_identity.m_customer;
  const std::int64_t most = MaxCost(aActive);
  if (m_parts.m_spend.TryReserve(customer, most, aNow)) {
    aActive.m_reservedMicros = most;
    AfterReserve(aActive, aNow, aEffects);
    return;
  }
  // The current slice may be too small although the budget suffices: another slice is requested at
  // the next tick, which takes one call to the platform.
  if (aActive.m_phase != RequestPhase::AwaitingSpend) {
    aActive.m_phase = RequestPhase::AwaitingSpend;
    aActive.m_spendLimit = std::min(aNow + kMaxSpendWait, aActive.m_deadline);
  }
  const bool exhausted = m_parts.m_spend.IsExhausted(customer);
  if (exhausted || aNow >= aActive.m_spendLimit) {
    Refuse(aActive,
           Refusal(ProblemCode::SpendLimit, "the customer's budget does not cover the request now",
                   exhausted ? kRetryAfterSpend : kRetryAfterStart),
           aNow, aEffects);
  }
}

void RequestPipeline::AfterReserve(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const bool isModel = aActive.m_request.m_target == CallerRequest::Target::Model;
  const bool needsPin =
    isModel && !aActive.m_sessionName.empty() && aActive.m_pinnedVersion.empty();
  if (needsPin) {
    RequestPin(aActive, aNow, aEffects);
    return;
  }
  SendFirst(aActive, aNow, aEffects);
}

void RequestPipeline::SendFirst(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  if (NeedsSuspectClaim(aActive, aNow)) {
    RequestSuspectClaim(aActive, aNow, aEffects);
    return;
  }
  aActive.m_phase = RequestPhase::Running;
  if (Send(aActive, false, aNow, aEffects) == SendResult::NoServer) {
    Refuse(aActive,
           Refusal(ProblemCode::NoBackendServer, "no backend server can take the request",
                   kRetryAfterNoServer),
           aNow, aEffects);
  }
}

void RequestPipeline::OnCallerGone(CallerId aCaller, Time aNow, EntryEffects& aEffects) {
  const auto found = m_requests.find(aCaller);
  if (found == m_requests.end()) {
    return;
  }
  ActiveRequest& active = found->second;
  const bool ending =
    active.m_phase == RequestPhase::AwaitingUsage || active.m_phase == RequestPhase::AwaitingBill;
  // A request that may run only once continues without its caller: the answer is stored for a retry
  // with the same key. A complete answer is still billed and stored. A suspect also continues,
  // since its run may still crash a server.
  if (ending || (active.m_claim && active.m_sent) || active.m_suspectClaim) {
    return;
  }
  CancelCalls(active, 0, aEffects);
  Forget(active, aNow, aEffects);
}

} // namespace fennelline

#include "Services/Entry/Requests/RequestPipeline.h"

#include "Services/Entry/Emit.h"
#include "Services/Entry/Requests/ClaimTickets.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Set in the attempt numbers of usage records, which consist of this bit and the caller ID.
constexpr std::uint64_t kUnclaimedAttemptBit = 1ULL << 63U;
constexpr Duration kRetryAfterGivenUp = Seconds(1);
constexpr Duration kRatingMemory = Seconds(120);
constexpr double kJudgeTimeDecay = 0.9;
constexpr const char* kStreamEnd = "data: [DONE]\n\n";

std::int64_t CostOf(const ModelVersion& aVersion, const BackendFinished& aEvent) {
  constexpr std::int64_t kTokensPerPrice = 1'000;
  return (aEvent.m_inputTokens * aVersion.m_inputMicrosPer1000Tokens +
          aEvent.m_outputTokens * aVersion.m_outputMicrosPer1000Tokens + kTokensPerPrice - 1) /
         kTokensPerPrice;
}

std::string ClusterOf(const ActiveRequest& aActive) {
  return aActive.m_sessionName.empty() ? aActive.m_identity.m_key : aActive.m_sessionName;
}

} // namespace

RequestIdentity RequestPipeline::RunSlot(const ActiveRequest& aActive) {
  return ClaimIdentity(ClaimPurpose::Run, aActive.m_identity.m_customer, aActive.m_identity.m_key);
}

RequestIdentity RequestPipeline::BillSlot(const ActiveRequest& aActive) {
  return ClaimIdentity(ClaimPurpose::Bill, aActive.m_identity.m_customer, aActive.m_identity.m_key);
}

void RequestPipeline::RecordEvent(const ActiveRequest& aActive, std::string aName,
                                  std::string aVersion,
                                  std::vector<std::pair<std::string, std::string>> aFields,
                                  EntryEffects& aEffects) {
  aEffects.emplace_back(RecordTimeline{{.m_name = std::move(aName),
                                        .m_request = aActive.m_identity.m_key,
                                        .m_session = aActive.m_sessionName,
                                        .m_version = std::move(aVersion),
                                        .m_fields = std::move(aFields)}});
}

void RequestPipeline::OnStepFinished(ActiveRequest& aActive, const RunningCall& aCall,
                                     const BackendFinished& aEvent, Time aNow,
                                     EntryEffects& aEffects) {
  EndSuspectClaim(aActive, aNow, aEffects);
  const std::shared_ptr<const Configuration> configuration = m_parts.m_configuration.Current();
  const ModelVersion* version = FindVersion(*configuration, aCall.m_version);
  aActive.m_costMicros +=
    version == nullptr ? aActive.m_operationCostMicros : CostOf(*version, aEvent);
  aActive.m_inputTokens += aEvent.m_inputTokens;
  aActive.m_outputTokens += aEvent.m_outputTokens;
  aActive.m_answer.m_status = aCall.m_status;
  aActive.m_answer.m_contentType = aCall.m_contentType;
  aActive.m_answer.m_version = aCall.m_version;
  if (!aActive.m_request.m_stream) {
    aActive.m_answer.m_body = aCall.m_body;
  }
  if (!aCall.m_version.empty()) {
    m_parts.m_evidence.OnAnswer(aCall.m_version, aActive.m_kind.m_name, ClusterOf(aActive),
                                AnswerEvidence{.m_late = aNow > aActive.m_deadline,
                                               .m_costMicros = aActive.m_costMicros,
                                               .m_time = aNow - aCall.m_work.m_sentAt},
                                aNow);
  }
  const bool hasFurtherStep = aActive.m_step + 1 < aActive.m_plan.m_steps.size();
  if (!hasFurtherStep) {
    BillAndDeliver(aActive, aNow, aEffects);
    return;
  }
  aActive.m_phase = RequestPhase::Judging;
  aActive.m_rating = m_nextRating++;
  m_ratings[aActive.m_rating] = {.m_judging = aActive.m_request.m_caller,
                                 .m_kind = aActive.m_kind.m_name,
                                 .m_version = aCall.m_version,
                                 .m_session = ClusterOf(aActive),
                                 .m_askedAt = aNow};
  aEffects.emplace_back(SubmitRating{.m_rating = aActive.m_rating,
                                     .m_kind = aActive.m_kind.m_name,
                                     .m_version = aCall.m_version,
                                     .m_prompt = aActive.m_request.m_prompt,
                                     .m_answer = aActive.m_answer.m_body});
}

void RequestPipeline::OnRating(const RatingArrived& aEvent, Time aNow, EntryEffects& aEffects) {
  const auto found = m_ratings.find(aEvent.m_rating);
  if (found == m_ratings.end()) {
    return;
  }
  const RatingInFlight rating = found->second;
  m_ratings.erase(found);
  const auto exposure = m_parts.m_exposures.find(rating.m_version);
  if (exposure != m_parts.m_exposures.end()) {
    exposure->second.m_judged += 1;
  }
  if (!aEvent.m_failed) {
    m_parts.m_estimates.ObserveRating(rating.m_kind, rating.m_version, aEvent.m_good, aNow);
    m_parts.m_evidence.OnRating(rating.m_version, rating.m_kind, rating.m_session, aEvent.m_good,
                                aNow);
    const double asked = static_cast<double>((aNow - rating.m_askedAt).count());
    const double known = static_cast<double>(m_parts.m_judgeTime.count());
    m_parts.m_judgeTime = Duration(
      static_cast<std::int64_t>(kJudgeTimeDecay * known + (1.0 - kJudgeTimeDecay) * asked));
  }
  const auto request = m_requests.find(rating.m_judging);
  const bool judged = request != m_requests.end() &&
                      request->second.m_phase == RequestPhase::Judging &&
                      request->second.m_rating == aEvent.m_rating;
  if (!judged) {
    return;
  }
  if (aEvent.m_failed || aEvent.m_good) {
    BillAndDeliver(request->second, aNow, aEffects);
    return;
  }
  StartNextStep(request->second, aNow, aEffects);
}

void RequestPipeline::StartNextStep(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const bool hasAnswer = aActive.m_answer.m_status != 0;
  aActive.m_step += 1;
  aActive.m_phase = RequestPhase::Running;
  aActive.m_triedServers.clear();
  const SendResult result = Send(aActive, false, aNow, aEffects);
  if (result != SendResult::NoServer) {
    return;
  }
  // An answer judged bad is still better than none.
  if (hasAnswer) {
    BillAndDeliver(aActive, aNow, aEffects);
    return;
  }
  GiveUp(aActive, aNow, aEffects);
}

void RequestPipeline::BillAndDeliver(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const bool mayRunElsewhere = aActive.m_hasIdempotencyKey && aActive.m_idempotent;
  if (!mayRunElsewhere) {
    RecordUsage(aActive, aNow, aEffects);
    return;
  }
  // Another entry may have answered the same key, and only one of them may bill it. The bill is
  // claimed before the usage record is written, since a peer settles the record even after this
  // entry is lost.
  aActive.m_phase = RequestPhase::AwaitingBill;
  const std::uint64_t ticket = TicketOf(aActive.m_request.m_caller, ClaimPurpose::Bill);
  const std::vector<ClaimOutcomeReport> outcomes = Emit(
    m_parts.m_claims.Begin(ticket, BillSlot(aActive), aActive.m_bodyHash, aActive.m_deadline, aNow),
    aEffects);
  OnClaimOutcomes(outcomes, aNow, aEffects);
}

void RequestPipeline::OnBillOutcome(ActiveRequest& aActive, const ClaimOutcomeReport& aOutcome,
                                    Time aNow, EntryEffects& aEffects) {
  switch (aOutcome.m_result) {
    case ClaimResult::Granted:
      aActive.m_billAttempt = aOutcome.m_attempt;
      RecordUsage(aActive, aNow, aEffects);
      return;
    case ClaimResult::NotRun:
      // Another entry may hold the bill claim for the same key, so an answer without the claim
      // would be billed twice or not at all. The claim was retried until the deadline.
      Refuse(aActive,
             Problem{.m_code = ProblemCode::GivenUp,
                     .m_ran = Ran::Yes,
                     .m_detail = "the bill could not be claimed: " + aOutcome.m_reason,
                     .m_retryAfter = aOutcome.m_retryAfter},
             aNow, aEffects);
      return;
    case ClaimResult::Replay:
      // Another entry has already billed the request.
      aActive.m_costMicros = 0;
      Deliver(aActive, aNow, aEffects);
      return;
    case ClaimResult::Unknown:
      // The entry that claimed the bill is lost; whether it billed the request is unknown.
      Refuse(aActive,
             Problem{.m_code = ProblemCode::FateUnknown,
                     .m_ran = Ran::Yes,
                     .m_detail = "an entry was lost while it billed this key; use a new one"},
             aNow, aEffects);
      return;
    case ClaimResult::Conflict:
      Refuse(aActive,
             Problem{.m_code = ProblemCode::KeyReused,
                     .m_ran = Ran::Yes,
                     .m_detail = "another request was answered under this key"},
             aNow, aEffects);
      return;
  }
}

void RequestPipeline::RecordUsage(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  aActive.m_phase = RequestPhase::AwaitingUsage;
  const std::string& customer = aActive.m_identity.m_customer;
  const std::int64_t uncovered =
    m_parts.m_spend.Spend(customer, aActive.m_reservedMicros, aActive.m_costMicros, aNow);
  aActive.m_reservedMicros = 0;
  aActive.m_costMicros -= uncovered;
  UsageRecord record;
  record.m_identity = aActive.m_identity;
  record.m_attempt = {.m_entry = m_parts.m_self,
                      .m_number = kUnclaimedAttemptBit | aActive.m_request.m_caller};
  record.m_version = aActive.m_answer.m_version;
  record.m_kind = aActive.m_kind.m_name;
  record.m_inputTokens = aActive.m_inputTokens;
  record.m_outputTokens = aActive.m_outputTokens;
  record.m_costMicros = aActive.m_costMicros;
  const std::vector<UsageOutcome> held = Emit(m_parts.m_usage.Record(record, aNow), aEffects);
  for (const UsageOutcome& item : held) {
    OnUsageHeld(item, aNow, aEffects);
  }
}

void RequestPipeline::OnUsageHeld(const UsageOutcome& aHeld, Time aNow, EntryEffects& aEffects) {
  const auto found = m_requests.find(aHeld.m_attempt.m_number & ~kUnclaimedAttemptBit);
  const bool awaited =
    found != m_requests.end() && found->second.m_phase == RequestPhase::AwaitingUsage;
  if (awaited) {
    Deliver(found->second, aNow, aEffects);
  }
}

std::vector<std::pair<std::string, std::string>> RequestPipeline::AnswerHeaders(
  const ActiveRequest& aActive, const std::string& aVersion) const {
  std::vector<std::pair<std::string, std::string>> headers;
  headers.emplace_back("Fennelline-Request", aActive.m_identity.m_key);
  headers.emplace_back("Fennelline-Entry", m_parts.m_self);
  if (!aVersion.empty()) {
    headers.emplace_back("Fennelline-Version", aVersion);
  }
  if (!aActive.m_sessionName.empty() && !aActive.m_pinnedVersion.empty()) {
    const SessionToken token{.m_name = aActive.m_sessionName, .m_version = aActive.m_pinnedVersion};
    headers.emplace_back("Fennelline-Session",
                         m_parts.m_sessionTokens.Sign(aActive.m_identity.m_customer, token));
  }
  return headers;
}

void RequestPipeline::SendHead(ActiveRequest& aActive, const RunningCall& aCall,
                               EntryEffects& aEffects) const {
  aActive.m_headSent = true;
  aEffects.emplace_back(AnswerHead{.m_caller = aActive.m_request.m_caller,
                                   .m_status = aCall.m_status,
                                   .m_contentType = aCall.m_contentType,
                                   .m_headers = AnswerHeaders(aActive, aCall.m_version),
                                   .m_stream = true});
}

void RequestPipeline::Deliver(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const CallerId caller = aActive.m_request.m_caller;
  aActive.m_answer.m_costMicros = aActive.m_costMicros;
  const std::string cost = std::to_string(aActive.m_costMicros);
  if (aActive.m_headSent) {
    aEffects.emplace_back(AnswerChunk{
      .m_caller = caller, .m_bytes = ": fennelline-cost-micros " + cost + "\n\n" + kStreamEnd});
  } else {
    std::vector<std::pair<std::string, std::string>> headers =
      AnswerHeaders(aActive, aActive.m_answer.m_version);
    headers.emplace_back("Fennelline-Cost-Micros", cost);
    aEffects.emplace_back(AnswerHead{.m_caller = caller,
                                     .m_status = aActive.m_answer.m_status,
                                     .m_contentType = aActive.m_answer.m_contentType,
                                     .m_headers = std::move(headers),
                                     .m_stream = aActive.m_request.m_stream});
    const std::string end = aActive.m_request.m_stream ? kStreamEnd : "";
    aEffects.emplace_back(
      AnswerChunk{.m_caller = caller, .m_bytes = aActive.m_answer.m_body + end});
  }
  aEffects.emplace_back(AnswerEnd{.m_caller = caller});
  if (aActive.m_claim) {
    Emit(m_parts.m_claims.Complete(RunSlot(aActive), *aActive.m_claim, aActive.m_answer, aNow),
         aEffects);
    aActive.m_claim.reset();
  }
  if (aActive.m_billAttempt) {
    // The claim records that the request was billed; answers to idempotent requests are not stored.
    StoredAnswer billed;
    billed.m_status = aActive.m_answer.m_status;
    billed.m_costMicros = aActive.m_costMicros;
    Emit(m_parts.m_claims.Complete(BillSlot(aActive), *aActive.m_billAttempt, billed, aNow),
         aEffects);
    aActive.m_billAttempt.reset();
  }
  SampleRating(aActive, aNow, aEffects);
  RecordEvent(aActive, "request.answered", aActive.m_answer.m_version,
              {{"customer", aActive.m_identity.m_customer},
               {"kind", aActive.m_kind.m_name},
               {"cost_micros", cost},
               {"server", aActive.m_lastServer},
               {"plan", aActive.m_plan.m_reason},
               {"ms", std::to_string(InMilliseconds(aNow - aActive.m_arrival))}},
              aEffects);
  Count("answered", aNow - aActive.m_arrival, aNow > aActive.m_deadline);
  Forget(aActive, aNow, aEffects);
}

void RequestPipeline::SampleRating(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const std::string& version = aActive.m_answer.m_version;
  const bool judgedAlready = aActive.m_rating != 0 && aActive.m_step == 0;
  const bool chosen =
    aActive.m_plan.m_exploring || m_parts.m_evidence.ChosenForRating(ClusterOf(aActive));
  if (version.empty() || judgedAlready || !chosen) {
    return;
  }
  const std::uint64_t rating = m_nextRating++;
  m_ratings[rating] = {.m_judging = 0,
                       .m_kind = aActive.m_kind.m_name,
                       .m_version = version,
                       .m_session = ClusterOf(aActive),
                       .m_askedAt = aNow};
  aEffects.emplace_back(SubmitRating{.m_rating = rating,
                                     .m_kind = aActive.m_kind.m_name,
                                     .m_version = version,
                                     .m_prompt = aActive.m_request.m_prompt,
                                     .m_answer = aActive.m_answer.m_body});
}

void RequestPipeline::Replay(ActiveRequest& aActive, const StoredAnswer& aAnswer, Time aNow,
                             EntryEffects& aEffects) {
  const CallerId caller = aActive.m_request.m_caller;
  std::vector<std::pair<std::string, std::string>> headers =
    AnswerHeaders(aActive, aAnswer.m_version);
  headers.emplace_back("Fennelline-Replay", "1");
  headers.emplace_back("Fennelline-Cost-Micros", std::to_string(aAnswer.m_costMicros));
  aEffects.emplace_back(AnswerHead{.m_caller = caller,
                                   .m_status = aAnswer.m_status,
                                   .m_contentType = aAnswer.m_contentType,
                                   .m_headers = std::move(headers)});
  aEffects.emplace_back(AnswerChunk{.m_caller = caller, .m_bytes = aAnswer.m_body});
  aEffects.emplace_back(AnswerEnd{.m_caller = caller});
  RecordEvent(aActive, "request.replayed", aAnswer.m_version, {}, aEffects);
  Count("replayed", aNow - aActive.m_arrival, false);
  Forget(aActive, aNow, aEffects);
}

void RequestPipeline::Refuse(ActiveRequest& aActive, const Problem& aProblem, Time aNow,
                             EntryEffects& aEffects) {
  const CallerId caller = aActive.m_request.m_caller;
  const std::string text = WriteProblem(aProblem, aActive.m_identity.m_key);
  CancelCalls(aActive, 0, aEffects);
  if (aActive.m_headSent) {
    // A started stream ends with an explicit error event and without the normal end marker.
    aEffects.emplace_back(
      AnswerChunk{.m_caller = caller, .m_bytes = "event: error\ndata: " + text + "\n\n"});
  } else {
    std::vector<std::pair<std::string, std::string>> headers;
    headers.emplace_back("Fennelline-Request", aActive.m_identity.m_key);
    headers.emplace_back("Fennelline-Entry", m_parts.m_self);
    if (aProblem.m_retryAfter > Duration{0}) {
      headers.emplace_back("Retry-After", RetryAfterSeconds(aProblem.m_retryAfter));
    }
    aEffects.emplace_back(AnswerHead{.m_caller = caller,
                                     .m_status = StatusOf(aProblem.m_code),
                                     .m_contentType = "application/problem+json",
                                     .m_headers = std::move(headers)});
    aEffects.emplace_back(AnswerChunk{.m_caller = caller, .m_bytes = text});
  }
  aEffects.emplace_back(AnswerEnd{.m_caller = caller});
  RecordEvent(aActive, "request.refused", "",
              {{"code", NameOf(aProblem.m_code)},
               {"ran", NameOf(aProblem.m_ran)},
               {"customer", aActive.m_identity.m_customer},
               {"kind", aActive.m_kind.m_name},
               {"detail", aProblem.m_detail}},
              aEffects);
  Count(NameOf(aProblem.m_code), aNow - aActive.m_arrival, false);
  Forget(aActive, aNow, aEffects);
}

void RequestPipeline::GiveUp(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  if (aActive.m_sent && !aActive.m_answer.m_version.empty()) {
    BillAndDeliver(aActive, aNow, aEffects);
    return;
  }
  Refuse(aActive,
         Problem{.m_code = ProblemCode::GivenUp,
                 .m_ran = aActive.m_sent || (NeedsClaim(aActive) && !aActive.m_claim) ? Ran::Unknown
                                                                                      : Ran::No,
                 .m_detail = "the request cannot finish before its deadline",
                 .m_retryAfter = kRetryAfterGivenUp},
         aNow, aEffects);
}

void RequestPipeline::Forget(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  const CallerId caller = aActive.m_request.m_caller;
  if (aActive.m_admitted) {
    m_parts.m_admission.Finished(aActive.m_admittedPool, aActive.m_identity.m_customer,
                                 aActive.m_admittedWork, aNow);
  }
  if (aActive.m_reservedMicros > 0) {
    m_parts.m_spend.Release(aActive.m_identity.m_customer, aActive.m_reservedMicros, aNow);
  }
  if (aActive.m_claim) {
    // If the attempt may have been sent, Abandon() marks its outcome as unknown.
    Emit(m_parts.m_claims.Abandon(RunSlot(aActive), *aActive.m_claim, aNow), aEffects);
  }
  if (aActive.m_billAttempt) {
    Emit(m_parts.m_claims.Abandon(BillSlot(aActive), *aActive.m_billAttempt, aNow), aEffects);
  }
  EndSuspectClaim(aActive, aNow, aEffects);
  if (aActive.m_phase == RequestPhase::AwaitingSuspectClaim) {
    Emit(m_parts.m_claims.Cancel(TicketOf(caller, ClaimPurpose::Suspect), aNow), aEffects);
  }
  if (aActive.m_phase == RequestPhase::AwaitingClaim) {
    Emit(m_parts.m_claims.Cancel(TicketOf(caller, ClaimPurpose::Run), aNow), aEffects);
  }
  m_requests.erase(caller);
}

void RequestPipeline::TickRequest(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  // A complete answer is delivered once its usage is recorded, even after the deadline: a late
  // answer is better than none.
  const bool ending =
    aActive.m_phase == RequestPhase::AwaitingUsage || aActive.m_phase == RequestPhase::AwaitingBill;
  if (ending) {
    return;
  }
  if (aNow >= aActive.m_deadline) {
    GiveUp(aActive, aNow, aEffects);
    return;
  }
  const bool checkIsOver =
    aActive.m_phase == RequestPhase::AwaitingCrashCheck && aNow >= aActive.m_crashCheckDeadline;
  if (checkIsOver) {
    AfterFailure(aActive, BackendFailed(aActive.m_failure), aNow, aEffects);
    return;
  }
  if (aActive.m_phase == RequestPhase::AwaitingSpend) {
    ReserveSpend(aActive, aNow, aEffects);
    return;
  }
  if (aActive.m_phase != RequestPhase::Running || aActive.m_headSent) {
    return;
  }
  const Duration elapsed = aNow - aActive.m_arrival;
  const bool stepIsOver = elapsed > aActive.m_plan.m_steps[aActive.m_step].m_giveUpAfter;
  const bool hasFurtherStep = aActive.m_step + 1 < aActive.m_plan.m_steps.size();
  if (stepIsOver && hasFurtherStep) {
    CancelCalls(aActive, 0, aEffects);
    StartNextStep(aActive, aNow, aEffects);
    return;
  }
  if (stepIsOver) {
    GiveUp(aActive, aNow, aEffects);
    return;
  }
  MaybeHedge(aActive, aNow, aEffects);
}

std::vector<CallerId> RequestPipeline::OpenCallerIds() const {
  std::vector<CallerId> callers;
  callers.reserve(m_requests.size());
  for (const auto& [caller, request] : m_requests) {
    callers.push_back(caller);
  }
  // The order must be deterministic for replays.
  std::sort(callers.begin(), callers.end());
  return callers;
}

void RequestPipeline::OnTick(Time aNow, EntryEffects& aEffects) {
  for (const CallerId caller : OpenCallerIds()) {
    const auto found = m_requests.find(caller);
    if (found != m_requests.end()) {
      TickRequest(found->second, aNow, aEffects);
    }
  }
  std::erase_if(
    m_ratings, [aNow](const auto& aItem) { return aNow - aItem.second.m_askedAt > kRatingMemory; });
}

void RequestPipeline::Count(const std::string& aOutcome, Duration aTime, bool aLate) {
  m_counts.m_outcomes[aOutcome] += 1;
  m_counts.m_late += aLate ? 1 : 0;
  m_counts.m_totalSeconds += InSeconds(aTime);
}

} // namespace fennelline

#include "Services/Entry/Emit.h"
#include "Services/Entry/Requests/ClaimTickets.h"
#include "Services/Entry/Requests/RequestPipeline.h"

namespace fennelline {

void RequestPipeline::RequestPin(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  aActive.m_phase = RequestPhase::AwaitingPin;
  const std::uint64_t ticket = TicketOf(aActive.m_request.m_caller, ClaimPurpose::Session);
  const std::vector<ClaimOutcomeReport> outcomes =
    Emit(SessionPins::Begin(m_parts.m_claims, ticket, aActive.m_identity.m_customer,
                            aActive.m_sessionName, aActive.m_deadline, aNow),
         aEffects);
  OnClaimOutcomes(outcomes, aNow, aEffects);
}

void RequestPipeline::Claim(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  aActive.m_phase = RequestPhase::AwaitingClaim;
  const std::uint64_t ticket = TicketOf(aActive.m_request.m_caller, ClaimPurpose::Run);
  const std::vector<ClaimOutcomeReport> outcomes = Emit(
    m_parts.m_claims.Begin(ticket, RunSlot(aActive), aActive.m_bodyHash, aActive.m_deadline, aNow),
    aEffects);
  OnClaimOutcomes(outcomes, aNow, aEffects);
}

void RequestPipeline::OnClaimOutcomes(const std::vector<ClaimOutcomeReport>& aOutcomes, Time aNow,
                                      EntryEffects& aEffects) {
  for (const ClaimOutcomeReport& outcome : aOutcomes) {
    const auto found = m_requests.find(CallerOf(outcome.m_ticket));
    if (found == m_requests.end()) {
      // The caller disconnected in the meantime: abandon a granted attempt.
      if (outcome.m_result == ClaimResult::Granted) {
        Emit(m_parts.m_claims.Abandon(outcome.m_identity, outcome.m_attempt, aNow), aEffects);
      }
      continue;
    }
    switch (PurposeOf(outcome.m_ticket)) {
      case ClaimPurpose::Session:
        OnPinOutcome(found->second, outcome, aNow, aEffects);
        break;
      case ClaimPurpose::Run:
        OnRunOutcome(found->second, outcome, aNow, aEffects);
        break;
      case ClaimPurpose::Suspect:
        OnSuspectOutcome(found->second, outcome, aNow, aEffects);
        break;
      case ClaimPurpose::Bill:
        OnBillOutcome(found->second, outcome, aNow, aEffects);
        break;
    }
  }
}

void RequestPipeline::OnPinOutcome(ActiveRequest& aActive, const ClaimOutcomeReport& aOutcome,
                                   Time aNow, EntryEffects& aEffects) {
  const std::string proposed = aActive.m_plan.m_steps.front().m_version;
  const std::vector<SessionPin> pins =
    Emit(SessionPins::Finish(m_parts.m_claims, aOutcome, proposed, aNow), aEffects);
  for (const SessionPin& pin : pins) {
    if (pin.m_result == SessionPin::Result::NotRun) {
      Refuse(aActive, Refusal(ProblemCode::ClaimsUnavailable, pin.m_reason, pin.m_retryAfter), aNow,
             aEffects);
      return;
    }
    if (pin.m_result == SessionPin::Result::Lost) {
      Refuse(aActive,
             Refusal(ProblemCode::InvalidSession,
                     "the session's version cannot be known; start a new session", Duration{0}),
             aNow, aEffects);
      return;
    }
    aActive.m_pinnedVersion = pin.m_version;
  }
  // The plan was made for the proposed version, so replan if another one was agreed on.
  if (aActive.m_pinnedVersion != proposed && !PlanModelWork(aActive, aNow, aEffects)) {
    return;
  }
  SendFirst(aActive, aNow, aEffects);
}

void RequestPipeline::OnRunOutcome(ActiveRequest& aActive, const ClaimOutcomeReport& aOutcome,
                                   Time aNow, EntryEffects& aEffects) {
  switch (aOutcome.m_result) {
    case ClaimResult::Granted:
      aActive.m_claim = aOutcome.m_attempt;
      PlanAndSend(aActive, aNow, aEffects);
      return;
    case ClaimResult::Replay:
      Replay(aActive, aOutcome.m_answer, aNow, aEffects);
      return;
    case ClaimResult::Conflict:
      Refuse(aActive,
             Refusal(ProblemCode::KeyReused, "this request did not run; the other one may have",
                     Duration{0}),
             aNow, aEffects);
      return;
    case ClaimResult::Unknown:
      Refuse(aActive,
             Problem{.m_code = ProblemCode::FateUnknown,
                     .m_ran = Ran::Unknown,
                     .m_detail = "the request was sent under this key and its answer is lost"},
             aNow, aEffects);
      return;
    case ClaimResult::NotRun:
      // This attempt did not run; an earlier one with the same key may have.
      Refuse(aActive,
             Problem{.m_code = ProblemCode::ClaimsUnavailable,
                     .m_ran = Ran::Unknown,
                     .m_detail = aOutcome.m_reason + "; send it again under the same key",
                     .m_retryAfter = aOutcome.m_retryAfter},
             aNow, aEffects);
      return;
  }
}

} // namespace fennelline

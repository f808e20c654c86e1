#include "Services/Entry/Emit.h"
#include "Services/Entry/Requests/ClaimTickets.h"
#include "Services/Entry/Requests/RequestPipeline.h"

namespace fennelline {

namespace {

constexpr Duration kRetryAfterNoServer = Seconds(1);

/// The claim slot for a request's content, regardless of sender and key.
RequestIdentity SuspectSlot(const ActiveRequest& aActive) {
  return ClaimIdentity(ClaimPurpose::Suspect, "", aActive.m_fingerprint);
}

Ran RanSoFar(const ActiveRequest& aActive) {
  return aActive.m_mayHaveRun ? Ran::Unknown : Ran::No;
}

} // namespace

bool RequestPipeline::NeedsSuspectClaim(const ActiveRequest& aActive, Time aNow) const {
  const bool suspect =
    aActive.m_crashes > 0 || m_parts.m_crashes.IsSuspect(aActive.m_fingerprint, aNow);
  return suspect && !aActive.m_suspectClaim;
}

void RequestPipeline::RequestSuspectClaim(ActiveRequest& aActive, Time aNow,
                                          EntryEffects& aEffects) {
  aActive.m_phase = RequestPhase::AwaitingSuspectClaim;
  const std::uint64_t ticket = TicketOf(aActive.m_request.m_caller, ClaimPurpose::Suspect);
  const std::vector<ClaimOutcomeReport> outcomes =
    Emit(m_parts.m_claims.Begin(ticket, SuspectSlot(aActive), aActive.m_fingerprint,
                                aActive.m_deadline, aNow),
         aEffects);
  OnClaimOutcomes(outcomes, aNow, aEffects);
}

void RequestPipeline::OnSuspectOutcome(ActiveRequest& aActive, const ClaimOutcomeReport& aOutcome,
                                       Time aNow, EntryEffects& aEffects) {
  if (aOutcome.m_result == ClaimResult::Granted) {
    aActive.m_suspectClaim = aOutcome.m_attempt;
    aActive.m_crashesAtClaim = aActive.m_crashes;
    aActive.m_phase = RequestPhase::Running;
    if (Send(aActive, false, aNow, aEffects) == SendResult::NoServer) {
      Refuse(aActive,
             Problem{.m_code = ProblemCode::NoBackendServer,
                     .m_ran = RanSoFar(aActive),
                     .m_detail = "no further backend server can take the request",
                     .m_retryAfter = kRetryAfterNoServer},
             aNow, aEffects);
    }
    return;
  }
  if (aOutcome.m_result == ClaimResult::NotRun) {
    Refuse(aActive,
           Problem{.m_code = ProblemCode::ClaimsUnavailable,
                   .m_ran = RanSoFar(aActive),
                   .m_detail = aOutcome.m_reason,
                   .m_retryAfter = aOutcome.m_retryAfter},
           aNow, aEffects);
    return;
  }
  Refuse(aActive,
         Problem{.m_code = ProblemCode::CrashesBackendServers,
                 .m_ran = Ran::Unknown,
                 .m_detail = "requests with this content crashed two backend servers"},
         aNow, aEffects);
}

void RequestPipeline::EndSuspectClaim(ActiveRequest& aActive, Time aNow, EntryEffects& aEffects) {
  if (!aActive.m_suspectClaim) {
    return;
  }
  // After a second crash the claim stays taken, so that the content is rejected from now on.
  const bool crashedAgain = aActive.m_crashes > aActive.m_crashesAtClaim;
  const AttemptId attempt = *aActive.m_suspectClaim;
  aActive.m_suspectClaim.reset();
  Emit(crashedAgain ? m_parts.m_claims.MarkUnknown(SuspectSlot(aActive), attempt, aNow)
                    : m_parts.m_claims.Abandon(SuspectSlot(aActive), attempt, aNow),
       aEffects);
}

} // namespace fennelline

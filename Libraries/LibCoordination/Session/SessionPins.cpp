#include "LibCoordination/Session/SessionPins.h"

#include <utility>

namespace fennelline {

namespace {

constexpr const char* kSessionPrefix = "session/";

std::string SessionName(const RequestIdentity& aIdentity) {
  return aIdentity.m_key.substr(std::string_view(kSessionPrefix).size());
}

} // namespace

ClaimTable::ClaimStep SessionPins::Begin(ClaimTable& aTable, std::uint64_t aTicket,
                                         const std::string& aCustomer, const std::string& aName,
                                         Time aDeadline, Time aNow) {
  // First requests of a session share its name but not their bodies, so the body hash is left
  // empty.
  const std::string emptyBodyHash;
  return aTable.Begin(aTicket, ClaimIdentity(ClaimPurpose::Session, aCustomer, aName),
                      emptyBodyHash, aDeadline, aNow);
}

Step<SessionPin> SessionPins::Finish(ClaimTable& aTable, const ClaimOutcomeReport& aOutcome,
                                     const std::string& aProposed, Time aNow) {
  SessionPin pin{.m_ticket = aOutcome.m_ticket,
                 .m_name = SessionName(aOutcome.m_identity),
                 .m_retryAfter = aOutcome.m_retryAfter,
                 .m_reason = aOutcome.m_reason};
  Step<SessionPin> step;
  switch (aOutcome.m_result) {
    case ClaimResult::Granted: {
      const StoredAnswer answer{.m_version = aProposed};
      ClaimTable::ClaimStep completed =
        aTable.Complete(aOutcome.m_identity, aOutcome.m_attempt, answer, aNow);
      step.m_effects = std::move(completed.m_effects);
      pin.m_result = SessionPin::Result::Pinned;
      pin.m_version = aProposed;
      break;
    }
    case ClaimResult::Replay:
      pin.m_result = SessionPin::Result::Pinned;
      pin.m_version = aOutcome.m_answer.m_version;
      break;
    case ClaimResult::Conflict:
    case ClaimResult::Unknown:
      pin.m_result = SessionPin::Result::Lost;
      break;
    case ClaimResult::NotRun:
      break;
  }
  step.m_outcomes.push_back(std::move(pin));
  return step;
}

} // namespace fennelline

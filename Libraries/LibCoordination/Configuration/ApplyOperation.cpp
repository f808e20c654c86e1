#include "LibCoordination/Configuration/ApplyOperation.h"

#include <algorithm>
#include <utility>

namespace fennelline {

ApplyOperation::ApplyOperation(ApplyInput aInput)
  : m_input(std::move(aInput))
  , m_number(m_input.m_lastCallNumber) {}

Step<ApplyOutcome> ApplyOperation::Start(Time aNow) {
  m_deadline = aNow + m_input.m_limit;
  return Write(aNow);
}

Step<ApplyOutcome> ApplyOperation::Tick(Time aNow) {
  if (m_done || aNow < std::min(m_phaseEnds, m_deadline)) {
    return {};
  }
  if (m_phase == Phase::Writing) {
    // The reply did not arrive in time.
    m_mayBeWritten = true;
  }
  if (aNow >= m_deadline) {
    return GiveUp();
  }
  if (m_phase == Phase::Waiting) {
    return m_mayBeWritten ? ReadBack(aNow) : Write(aNow);
  }
  return RetryLater(aNow);
}

Step<ApplyOutcome> ApplyOperation::OnPlatformReply(const PlatformReply& aReply, Time aNow) {
  const bool isExpected =
    !m_done && m_phase != Phase::Waiting &&
    aReply.m_call == CallId{.m_component = m_input.m_component, .m_number = m_number};
  if (!isExpected) {
    return {};
  }
  return m_phase == Phase::Writing ? OnWritten(aReply, aNow) : OnReadBack(aReply, aNow);
}

Step<ApplyOutcome> ApplyOperation::Call(PlatformRequest aRequest, Phase aPhase, Time aNow) {
  Step<ApplyOutcome> step;
  m_phase = aPhase;
  m_phaseEnds = aNow + m_input.m_callTimeout;
  step.m_effects.emplace_back(
    CallPlatform{.m_call = {.m_component = m_input.m_component, .m_number = ++m_number},
                 .m_request = std::move(aRequest)});
  return step;
}

Step<ApplyOutcome> ApplyOperation::Write(Time aNow) {
  PutKey put;
  put.m_key = m_input.m_key;
  put.m_value = m_input.m_text;
  put.m_expected = m_input.m_baseRevision;
  return Call(std::move(put), Phase::Writing, aNow);
}

Step<ApplyOutcome> ApplyOperation::ReadBack(Time aNow) {
  return Call(GetKey{.m_key = m_input.m_key}, Phase::ReadingBack, aNow);
}

Step<ApplyOutcome> ApplyOperation::OnWritten(const PlatformReply& aReply, Time aNow) {
  switch (aReply.m_status) {
    case PlatformStatus::Ok:
      return Finish(Applied{aReply.m_revision});
    case PlatformStatus::Conflict:
      return ResolveOutcome(aReply, aNow);
    case PlatformStatus::Unknown:
      m_mayBeWritten = true;
      return RetryLater(aNow);
    case PlatformStatus::NotFound:
    case PlatformStatus::Unavailable:
    case PlatformStatus::HistoryGone:
      break;
  }
  return RetryLater(aNow);
}

Step<ApplyOutcome> ApplyOperation::OnReadBack(const PlatformReply& aReply, Time aNow) {
  const bool isRead =
    aReply.m_status == PlatformStatus::Ok || aReply.m_status == PlatformStatus::NotFound;
  return isRead ? ResolveOutcome(aReply, aNow) : RetryLater(aNow);
}

Step<ApplyOutcome> ApplyOperation::ResolveOutcome(const PlatformReply& aReply, Time aNow) {
  const KeyValue present = aReply.m_keys.empty() ? KeyValue{} : aReply.m_keys.front();
  if (present.m_revision == m_input.m_baseRevision && aReply.m_status == PlatformStatus::Conflict) {
    // The reply contradicts itself: the service may be failing over.
    return RetryLater(aNow);
  }
  if (present.m_revision == m_input.m_baseRevision) {
    // Not written yet, although a lost write may still arrive. Repeating the same compare-and-swap
    // is safe: at most one of the writes can match this revision.
    return Write(aNow);
  }
  if (m_mayBeWritten && present.m_value == m_input.m_text) {
    return Finish(Applied{present.m_revision});
  }
  if (m_mayBeWritten) {
    return Finish(ApplyUnresolved{present.m_revision, present.m_value});
  }
  return Finish(ApplyConflict{present.m_revision, present.m_value});
}

Step<ApplyOutcome> ApplyOperation::RetryLater(Time aNow) {
  m_phase = Phase::Waiting;
  m_phaseEnds = aNow + m_input.m_retryWait;
  return {};
}

Step<ApplyOutcome> ApplyOperation::GiveUp() {
  if (m_mayBeWritten) {
    return Finish(ApplyUnresolved{});
  }
  return Finish(ApplyUnavailable{});
}

Step<ApplyOutcome> ApplyOperation::Finish(ApplyOutcome aOutcome) {
  Step<ApplyOutcome> step;
  m_done = true;
  step.m_outcomes.push_back(std::move(aOutcome));
  return step;
}

} // namespace fennelline

#include "LibCoordination/Lease/LeaseManager.h"

#include <algorithm>
#include <utility>

namespace fennelline {

LeaseManager::LeaseManager(LeaseSettings aSettings, std::uint64_t aSeed)
  : m_settings(std::move(aSettings))
  , m_random(aSeed) {}

Step<LeaseOutcome> LeaseManager::Tick(Time aNow) {
  Step<LeaseOutcome> step;
  if (m_phase == Phase::Released) {
    return step;
  }
  if (m_fence && !IsHeld(aNow)) {
    step.Append(Lose(aNow));
  }
  if (m_callOpen && aNow - m_callSentAt >= m_settings.m_callTimeout) {
    step.Append(OnCallLost(aNow));
  }
  if (!m_callOpen && aNow >= m_next) {
    step.Append(CallNext(aNow));
  }
  return step;
}

Step<LeaseOutcome> LeaseManager::OnPlatformReply(const PlatformReply& aReply, Time aNow) {
  const bool isExpected =
    m_callOpen && aReply.m_call == CallId{.m_component = Component::Lease, .m_number = m_number};
  if (!isExpected || m_phase == Phase::Released) {
    return {};
  }
  m_callOpen = false;
  const bool isLost =
    aReply.m_status == PlatformStatus::Unavailable || aReply.m_status == PlatformStatus::Unknown;
  if (isLost) {
    return OnCallLost(aNow);
  }
  switch (m_phase) {
    case Phase::Reading:
      return OnRead(aReply, aNow);
    case Phase::Granting:
      return OnGranted(aReply, aNow);
    case Phase::Putting:
      return OnPut(aReply, aNow);
    case Phase::Held:
      return OnRenewed(aReply, aNow);
    case Phase::Released:
      break;
  }
  return {};
}

Step<LeaseOutcome> LeaseManager::Release(Time aNow) {
  Step<LeaseOutcome> step;
  const std::uint64_t lease = std::exchange(m_lease, 0);
  if (m_fence) {
    step.Append(Lose(aNow));
  }
  m_phase = Phase::Released;
  if (lease != 0) {
    step.Append(Call(EndLease{.m_lease = lease}, aNow));
  }
  return step;
}

bool LeaseManager::IsHeld(Time aNow) const {
  return m_fence && aNow < m_validFrom + m_settings.m_timeToLive - m_settings.m_margin;
}

Step<LeaseOutcome> LeaseManager::CallNext(Time aNow) {
  switch (m_phase) {
    case Phase::Reading:
      return Call(GetKey{.m_key = m_settings.m_key}, aNow);
    case Phase::Granting:
      return Call(GrantLease{.m_milliseconds = InMilliseconds(m_settings.m_timeToLive)}, aNow);
    case Phase::Putting:
      return Call(PutKey{.m_key = m_settings.m_key,
                         .m_value = KeyText(),
                         .m_expected = kAbsent,
                         .m_lease = m_lease},
                  aNow);
    case Phase::Held:
      return Call(RenewLease{.m_lease = m_lease}, aNow);
    case Phase::Released:
      break;
  }
  return {};
}

Step<LeaseOutcome> LeaseManager::Call(PlatformRequest aRequest, Time aNow) {
  Step<LeaseOutcome> step;
  m_callOpen = true;
  m_callSentAt = aNow;
  step.m_effects.emplace_back(
    CallPlatform{.m_call = {.m_component = Component::Lease, .m_number = ++m_number},
                 .m_request = std::move(aRequest)});
  return step;
}

Step<LeaseOutcome> LeaseManager::OnRead(const PlatformReply& aReply, Time aNow) {
  const bool exists = aReply.m_status == PlatformStatus::Ok && !aReply.m_keys.empty();
  if (!exists) {
    m_holderSeen.clear();
    m_phase = m_lease == 0 ? Phase::Granting : Phase::Putting;
    return CallNext(aNow);
  }
  const KeyValue& key = aReply.m_keys.front();
  m_holderSeen = key.m_value.substr(0, key.m_value.find(' '));
  // A write whose reply was lost may have acquired the key. It counts only under the current lease:
  // a late write under an earlier lease is removed when that lease ends.
  const bool isOurs = m_lease != 0 && key.m_value == KeyText();
  return isOurs ? Acquire(key.m_revision, aNow) : WaitForTurn(aNow);
}

Step<LeaseOutcome> LeaseManager::OnGranted(const PlatformReply& aReply, Time aNow) {
  if (aReply.m_status != PlatformStatus::Ok) {
    return WaitForTurn(aNow);
  }
  m_lease = aReply.m_lease;
  m_validFrom = m_callSentAt;
  m_phase = Phase::Putting;
  return CallNext(aNow);
}

Step<LeaseOutcome> LeaseManager::OnPut(const PlatformReply& aReply, Time aNow) {
  if (aReply.m_status == PlatformStatus::Ok) {
    return Acquire(aReply.m_revision, aNow);
  }
  if (aReply.m_status == PlatformStatus::NotFound) {
    // The lease ended before the key was written: start with a new one.
    m_lease = 0;
  }
  return WaitForTurn(aNow);
}

Step<LeaseOutcome> LeaseManager::OnRenewed(const PlatformReply& aReply, Time aNow) {
  if (aReply.m_status != PlatformStatus::Ok) {
    m_lease = 0;
    return Lose(aNow);
  }
  m_validFrom = m_callSentAt;
  m_next = aNow + m_settings.m_renewInterval;
  return {};
}

Step<LeaseOutcome> LeaseManager::Acquire(Revision aFence, Time aNow) {
  Step<LeaseOutcome> step;
  m_phase = Phase::Held;
  m_fence = aFence;
  m_holderSeen = m_settings.m_holder;
  m_next = aNow + m_settings.m_renewInterval;
  if (!IsHeld(aNow)) {
    // The replies were so slow that the lease may have ended in the meantime.
    step.Append(Lose(aNow));
    return step;
  }
  step.m_outcomes.emplace_back(LeaseAcquired{aFence});
  return step;
}

Step<LeaseOutcome> LeaseManager::Lose(Time aNow) {
  Step<LeaseOutcome> step;
  const Revision fence = *m_fence;
  m_fence.reset();
  m_lease = 0;
  m_callOpen = false;
  m_phase = Phase::Reading;
  m_next = aNow + m_settings.m_margin;
  step.m_outcomes.emplace_back(LeaseLost{fence});
  return step;
}

Step<LeaseOutcome> LeaseManager::WaitForTurn(Time aNow) {
  m_phase = Phase::Reading;
  const double spread = 0.5 + m_random.Uniform();
  m_next = aNow + std::chrono::duration_cast<Duration>(m_settings.m_pollInterval * spread);
  return {};
}

Step<LeaseOutcome> LeaseManager::OnCallLost(Time aNow) {
  m_callOpen = false;
  m_next = aNow + m_settings.m_retryWait;
  if (m_phase == Phase::Putting) {
    m_phase = Phase::Reading;
  }
  return {};
}

std::string LeaseManager::KeyText() const {
  return m_settings.m_holder + " " + std::to_string(m_lease);
}

} // namespace fennelline

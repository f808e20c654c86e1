#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fennelline {

/// How one lease is acquired and renewed.
struct LeaseSettings {
  /// The key that the holder owns.
  std::string m_key;
  /// Identifies the holder in the value of the key; without spaces and unique for each process.
  std::string m_holder;
  Duration m_timeToLive = Seconds(10);
  Duration m_renewInterval = Seconds(3);
  /// The lease is considered ended this long before the platform ends it, to allow for clock drift.
  Duration m_margin = Seconds(2);
  /// While another process holds the lease, the key is read at this interval, with a random jitter
  /// of up to half of it either way.
  Duration m_pollInterval = Seconds(5);
  Duration m_callTimeout = Seconds(2);
  Duration m_retryWait = Milliseconds(300);
};

/// The lease is held. m_fence is sent with every order to an engine; each new holder has a higher
/// one.
struct LeaseAcquired {
  Revision m_fence = 0;
};

/// The lease is no longer held, or may no longer be held.
struct LeaseLost {
  Revision m_fence = 0;
};

using LeaseOutcome = std::variant<LeaseAcquired, LeaseLost>;

/// Acquires and renews a lease in the platform's key-value service. The fencing number is the
/// revision of the write that acquired it.
///
/// IsHeld() decides whether to start an action. It cannot guarantee that the lease is still held
/// when a request is sent, because the process may be paused between the check and the send.
/// Whatever is sent must therefore carry Fence(), and the effects on a receiver that ignores it
/// must be checked by reading back (see docs/design/leases.md).
class LeaseManager {
public:
  LeaseManager(LeaseSettings aSettings, std::uint64_t aSeed);

  /// Acquires the lease when it is free and renews it. To be called at least every 100 ms.
  Step<LeaseOutcome> Tick(Time aNow);
  /// Accepts replies with Component::Lease.
  Step<LeaseOutcome> OnPlatformReply(const PlatformReply& aReply, Time aNow);
  /// Gives up the lease at a graceful stop. It is not acquired again.
  Step<LeaseOutcome> Release(Time aNow);

  /// The fencing number while the lease is believed to be held.
  std::optional<Revision> Fence() const { return m_fence; }
  /// Whether, by the clock of this process, the platform cannot have ended the lease yet.
  bool IsHeld(Time aNow) const;
  /// The holder, as last read.
  const std::string& Holder() const { return m_holderSeen; }

private:
  /// The current or next action. Failed calls are repeated in the same phase.
  enum class Phase : std::uint8_t { Reading, Granting, Putting, Held, Released };

  Step<LeaseOutcome> CallNext(Time aNow);
  Step<LeaseOutcome> Call(PlatformRequest aRequest, Time aNow);
  Step<LeaseOutcome> OnRead(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> OnGranted(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> OnPut(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> OnRenewed(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> Acquire(Revision aFence, Time aNow);
  Step<LeaseOutcome> Lose(Time aNow);
  Step<LeaseOutcome> WaitForTurn(Time aNow);
  Step<LeaseOutcome> OnCallLost(Time aNow);
  std::string KeyText() const;

  LeaseSettings m_settings;
  Random m_random;
  Phase m_phase = Phase::Reading;
  std::uint64_t m_number = 0;
  bool m_callOpen = false;
  Time m_callSentAt{};
  std::uint64_t m_lease = 0;
  std::optional<Revision> m_fence;
  /// When the last successful grant or renewal was sent: the lease lasts from then, or later.
  Time m_validFrom{};
  Time m_next{};
  std::string m_holderSeen;
};

} // namespace fennelline

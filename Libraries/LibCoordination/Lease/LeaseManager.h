#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fennelline {

/// How one lease is taken and kept.
struct LeaseSettings {
  /// The key that the holder owns.
  std::string m_key;
  /// What the key says of the holder, without spaces; unique for each process.
  std::string m_holder;
  Duration m_life = Seconds(10);
  Duration m_renewInterval = Seconds(3);
  /// Held is taken to end this much before the platform lets it end: clocks run apart.
  Duration m_margin = Seconds(2);
  /// While another holds it, the key is looked at this often, spread by half of it either way.
  Duration m_pollInterval = Seconds(5);
  Duration m_callTimeout = Seconds(2);
  Duration m_retryWait = Milliseconds(300);
};

/// The lease is held. Orders carry the fencing number; it grows from one holder to the next.
struct LeaseAcquired {
  Revision m_fence = 0;
};

/// The lease is no longer held, or can no longer be known to be.
struct LeaseLost {
  Revision m_fence = 0;
};

using LeaseOutcome = std::variant<LeaseAcquired, LeaseLost>;

/// Takes and keeps a lease in the platform's service. The fencing number is the revision of the
/// write that took it.
///
/// IsHeld() is for deciding whether to begin something. It cannot promise that the lease is still
/// held at the instant of sending, for a process may pause between the question and the sending:
/// whatever is sent must carry Fence(), and a receiver that ignores it must be met by reading back
/// (see docs/design/leases.md).
class LeaseManager {
public:
  LeaseManager(LeaseSettings aSettings, std::uint64_t aSeed);

  /// Calls at least each 100 ms; takes the lease when it is free and renews it.
  Step<LeaseOutcome> Tick(Time aNow);
  /// Replies with Component::Lease.
  Step<LeaseOutcome> OnPlatformReply(const PlatformReply& aReply, Time aNow);
  /// Gives the lease back, at a graceful stop. It is not taken again.
  Step<LeaseOutcome> Release(Time aNow);

  /// The fencing number while the lease is held as far as known.
  std::optional<Revision> Fence() const { return m_fence; }
  /// Whether the platform cannot have ended the lease yet, by this process's clock.
  bool IsHeld(Time aNow) const;
  /// Who holds it, as last read.
  const std::string& Holder() const { return m_holderSeen; }

private:
  /// What is done, or will be done next. Calls that fail are repeated in their phase.
  enum class Phase : std::uint8_t { Looking, Granting, Putting, Held, Released };

  Step<LeaseOutcome> CallNext(Time aNow);
  Step<LeaseOutcome> Call(PlatformRequest aRequest, Time aNow);
  Step<LeaseOutcome> OnLooked(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> OnGranted(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> OnPut(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> OnRenewed(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> Take(Revision aFence, Time aNow);
  Step<LeaseOutcome> Lose(Time aNow);
  Step<LeaseOutcome> WaitForTurn(Time aNow);
  Step<LeaseOutcome> OnCallLost(Time aNow);
  std::string KeyText() const;

  LeaseSettings m_settings;
  Random m_random;
  Phase m_phase = Phase::Looking;
  std::uint64_t m_number = 0;
  bool m_callOpen = false;
  Time m_callSent{};
  std::uint64_t m_lease = 0;
  std::optional<Revision> m_fence;
  /// When the last grant or renewal that succeeded was sent: the lease lasts from then, or later.
  Time m_validFrom{};
  Time m_next{};
  std::string m_holderSeen;
};

} // namespace fennelline

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
  /// What the key says of the holder; unique for each process.
  std::string m_holder;
  Duration m_life = Seconds(10);
  Duration m_renewInterval = Seconds(3);
  /// Held is taken to end this much before the platform lets it end: clocks run apart.
  Duration m_margin = Seconds(2);
  /// While another holds it, the key is looked at this often, spread by half of it either way.
  Duration m_pollInterval = Seconds(5);
  Duration m_callTimeout = Seconds(2);
};

/// The lease is held. Orders carry the fencing number; it grows from one holder to the next.
struct LeaseTaken {
  Revision m_fence = 0;
};

/// The lease is no longer held, or can no longer be known to be.
struct LeaseLost {
  Revision m_fence = 0;
};

using LeaseOutcome = std::variant<LeaseTaken, LeaseLost>;

/// Takes and keeps a lease in the platform's service. The fencing number is the revision of the
/// write that took it.
///
/// IsHeld() is for deciding whether to begin something. It cannot promise that the lease is still
/// held at the instant of sending, for a process may pause between the question and the sending:
/// whatever is sent must carry Fence(), and a receiver that ignores it must be met by reading back
/// (see docs/design/leases.md).
class LeaseKeeper {
public:
  LeaseKeeper(LeaseSettings aSettings, std::uint64_t aSeed);

  /// Calls at least each 100 ms; takes the lease when it is free and renews it.
  Step<LeaseOutcome> Tick(Time aNow);
  /// Replies with Part::Lease.
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
  enum class Phase : std::uint8_t {
    Idle,
    Granting,
    Putting,
    ReadingBack,
    Held,
    Renewing,
    Released
  };

  Step<LeaseOutcome> Call(PlatformRequest aRequest, Phase aPhase, Time aNow);
  Step<LeaseOutcome> OnGranted(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> OnPut(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> OnReadBack(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> OnRenewed(const PlatformReply& aReply, Time aNow);
  Step<LeaseOutcome> Take(Revision aFence, Time aNow);
  Step<LeaseOutcome> Lose();
  Step<LeaseOutcome> WaitForTurn(Time aNow);
  Step<LeaseOutcome> OnCallLost(Time aNow);

  LeaseSettings m_settings;
  Random m_random;
  Phase m_phase = Phase::Idle;
  std::uint64_t m_number = 0;
  std::uint64_t m_lease = 0;
  std::optional<Revision> m_fence;
  /// The lease lasts until m_life after the last grant or renewal was sent, and no less.
  Time m_validFrom{};
  Time m_callSent{};
  Time m_next{};
  bool m_look = true;
  std::string m_holderSeen;
};

} // namespace fennelline

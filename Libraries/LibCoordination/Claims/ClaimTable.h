#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Claims/ClaimKeys.h"
#include "LibCoordination/Claims/ClaimOutcomeReport.h"
#include "LibCoordination/Claims/ClaimSettings.h"
#include "LibCoordination/Message.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace fennelline {

/// Write-once slots for keys, each replicated to the three holders in its shard's view. The table
/// decides which single attempt of a request may be sent, and stores the answer for retries.
///
/// Usage:
///  1. Call Begin() with a unique ticket. Exactly one outcome with that ticket is reported, by this
///     call or a later one, by the deadline (or by the first Tick() after it).
///  2. On Granted, call MaySend() in the same step that emits the send, and send only if it returns
///     true.
///  3. End each granted attempt with one of Complete(), MarkUnknown() or Abandon().
///
/// Messages, platform replies, member lists and time are passed in through the On…() functions and
/// Tick(). Pass on every message; the table ignores those for other components.
class ClaimTable {
public:
  ClaimTable(ClaimSettings aSettings, EntryId aSelf, DataCentre aDataCentre, std::uint64_t aSeed);
  ~ClaimTable();
  ClaimTable(ClaimTable&&) noexcept;
  ClaimTable& operator=(ClaimTable&&) noexcept;

  using ClaimStep = Step<ClaimOutcomeReport>;

  /// Claims a key for a request. aBodyHash detects that a key is reused for a different request.
  ClaimStep Begin(std::uint64_t aTicket, const RequestIdentity& aIdentity,
                  const std::string& aBodyHash, Time aDeadline, Time aNow);

  /// Cancels the claim of a caller that has disconnected, and abandons its attempt. Does nothing
  /// after the Granted outcome.
  ClaimStep Cancel(std::uint64_t aTicket, Time aNow);

  /// Whether a granted attempt may be sent now. Returns false if the attempt has ended, or if it is
  /// so old (after the process was paused) that its slots may have expired. If this returns true,
  /// the attempt counts as sent.
  bool MaySend(const RequestIdentity& aIdentity, const AttemptId& aAttempt, Time aNow);

  /// Undoes a MaySend() that returned true, after the backend call ended without sending a byte.
  void MarkNotSent(const RequestIdentity& aIdentity, const AttemptId& aAttempt);

  /// Ends the attempt with a complete answer, which retries of the request will get.
  ClaimStep Complete(const RequestIdentity& aIdentity, const AttemptId& aAttempt,
                     const StoredAnswer& aAnswer, Time aNow);

  /// Ends the attempt, which may have run, without an answer.
  ClaimStep MarkUnknown(const RequestIdentity& aIdentity, const AttemptId& aAttempt, Time aNow);

  /// Abandons an attempt that was never sent and releases its slots. An attempt that counts as sent
  /// is marked as unknown instead.
  ClaimStep Abandon(const RequestIdentity& aIdentity, const AttemptId& aAttempt, Time aNow);

  ClaimStep OnMessage(const EntryId& aFrom, const Message& aMessage, Time aNow);
  ClaimStep OnPlatformReply(const PlatformReply& aReply, Time aNow);
  ClaimStep OnMembers(std::span<const MemberDigest> aMembers, Time aNow);
  ClaimStep Tick(Time aNow);

  /// Counts for metrics and tests.
  struct Counts {
    std::size_t m_views = 0;
    std::size_t m_shardsHeld = 0;
    std::size_t m_shardsServed = 0;
    std::size_t m_slots = 0;
    std::size_t m_openClaims = 0;
    std::size_t m_ownedAttempts = 0;
  };
  Counts Count() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace fennelline

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

/// Write-once slots for keys, each held by three entries of a shard's view. It decides which one
/// attempt of a request may be sent, and keeps the answer for the same request sent again.
///
/// How to use it:
///  1. Begin() with a ticket of your own. One outcome with that ticket comes, from this call or a
///     later one, by the deadline (or with the first Tick() after it).
///  2. Granted: ask MaySend() in the same step that emits the send, and send only on true.
///  3. End each granted attempt with one of Complete(), MarkUnknown() or Abandon().
///
/// Messages, replies of the platform, members and time come in through the On…() functions and
/// Tick(); pass on every message, since the table ignores those that are not its own.
class ClaimTable {
public:
  ClaimTable(ClaimSettings aSettings, EntryId aSelf, DataCentre aDataCentre, std::uint64_t aSeed);
  ~ClaimTable();
  ClaimTable(ClaimTable&&) noexcept;
  ClaimTable& operator=(ClaimTable&&) noexcept;

  using ClaimStep = Step<ClaimOutcomeReport>;

  /// Claims a key for a request. aBodyHash tells whether a key is used for another request.
  ClaimStep Begin(std::uint64_t aTicket, const RequestIdentity& aIdentity,
                  const std::string& aBodyHash, Time aDeadline, Time aNow);

  /// Gives up a ticket whose caller has gone. An attempt that it claimed is abandoned; after its
  /// Granted outcome this does nothing.
  ClaimStep Cancel(std::uint64_t aTicket, Time aNow);

  /// Whether a granted attempt may be sent now. It is false when the attempt has ended, or when it
  /// is so old (after a pause of the process) that its slots may have expired. After true the
  /// attempt counts as sent.
  bool MaySend(const RequestIdentity& aIdentity, const AttemptId& aAttempt, Time aNow);

  /// Takes a true MaySend() back: the backend call ended and not one byte of it was sent.
  void MarkNotSent(const RequestIdentity& aIdentity, const AttemptId& aAttempt);

  /// The attempt ended with a whole answer, which the same request sent again will get.
  ClaimStep Complete(const RequestIdentity& aIdentity, const AttemptId& aAttempt,
                     const StoredAnswer& aAnswer, Time aNow);

  /// The attempt may have run and there will be no answer.
  ClaimStep MarkUnknown(const RequestIdentity& aIdentity, const AttemptId& aAttempt, Time aNow);

  /// Gives up an attempt that was never sent and releases its slots. An attempt that counts as sent
  /// is marked unknown instead.
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
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace fennelline

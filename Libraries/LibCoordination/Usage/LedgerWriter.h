#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/Usage/Ledger.h"

#include <cstdint>
#include <map>
#include <optional>

namespace fennelline {

using PendingRecords = std::map<std::uint64_t, UsageRecord>;

/// Settles records of one origin into its ledger, whoever holds them. It reads the ledger, adds the
/// numbers that are missing and writes it by compare-and-swap; after any doubt it reads again. So a
/// lost reply, a second settler or a settler that was paused cannot count a record twice.
class LedgerWriter {
public:
  LedgerWriter(EntryId aOrigin, Duration aCallTimeout);

  /// Goes on with settling: makes at most one call, and none while one is open. A ledger that does
  /// not exist is made only where aMayCreate is true, see UsageSettings::m_compactAfter.
  void Advance(const PendingRecords& aPending, bool aMayCreate, Effects& aEffects,
               std::uint64_t& aCallNumber, Time aNow);

  /// Takes a reply. Returns true where it was for this writer; settled records leave aPending.
  bool OnReply(const PlatformReply& aReply, PendingRecords& aPending, Time aNow);

  bool IsBusy() const { return m_call.has_value(); }
  /// The ledger is gone: it was compacted after this origin had long been dead.
  bool IsClosed() const { return m_isClosed; }
  /// The ledger exists, or did.
  bool HasLedger() const { return m_revision != kAbsent; }
  /// When the ledger was last written, as far as known.
  Time LastWrittenAt() const { return m_ledger.m_writtenAt; }
  const SequenceRanges& Settled() const { return m_ledger.m_settled; }

private:
  struct Call {
    std::uint64_t m_number = 0;
    Time m_sentAt;
    /// The ledger that is being written; none for a reading.
    std::optional<Ledger> m_written;
  };

  void Send(PlatformRequest aRequest, std::optional<Ledger> aWritten, Effects& aEffects,
            std::uint64_t& aCallNumber, Time aNow);
  void OnRead(const PlatformReply& aReply);
  void OnWritten(const PlatformReply& aReply, Ledger aWritten);
  void DropSettled(PendingRecords& aPending) const;

  EntryId m_origin;
  Duration m_callTimeout;
  Ledger m_ledger;
  /// The ledger's revision, or the least that it can be while m_isKnown is false.
  Revision m_revision = kAbsent;
  bool m_isKnown = false;
  bool m_isClosed = false;
  std::optional<Call> m_call;
  Time m_backOffUntil{};
};

} // namespace fennelline

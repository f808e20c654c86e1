#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/Usage/Ledger.h"

#include <cstdint>
#include <map>
#include <optional>

namespace fennelline {

using PendingRecords = std::map<std::uint64_t, UsageRecord>;

/// Settles records of one origin into its ledger, at any entry that holds them. It reads the
/// ledger, adds the records whose numbers are missing and writes it by compare-and-swap; if the
/// result is uncertain, it reads again. Thus a lost reply, a concurrent writer or a writer that was
/// paused cannot count a record twice.
class LedgerWriter {
public:
  LedgerWriter(EntryId aOrigin, Duration aCallTimeout);

  /// Continues settling: makes at most one call, and none while one is open. A ledger that does not
  /// exist is only created if aMayCreate is true, see UsageSettings::m_compactAfter.
  void Advance(const PendingRecords& aPending, bool aMayCreate, Effects& aEffects,
               std::uint64_t& aCallNumber, Time aNow);

  /// Handles a reply. Returns true if it was for this writer; settled records are removed from
  /// aPending.
  bool OnReply(const PlatformReply& aReply, PendingRecords& aPending, Time aNow);

  bool IsBusy() const { return m_call.has_value(); }
  /// The ledger was removed by compaction after this origin had been gone for long, or it does not
  /// exist and must no longer be created.
  bool IsClosed() const { return m_isClosed; }
  /// Whether the ledger exists or has existed.
  bool HasLedger() const { return m_revision != kAbsent; }
  /// The time of the last known write of the ledger.
  Time LastWrittenAt() const { return m_ledger.m_writtenAt; }
  const SequenceRanges& Settled() const { return m_ledger.m_settled; }

private:
  struct Call {
    std::uint64_t m_number = 0;
    Time m_sentAt;
    /// The ledger that is being written; none for a read.
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
  /// The ledger's revision, or a lower bound of it while m_isKnown is false.
  Revision m_revision = kAbsent;
  bool m_isKnown = false;
  bool m_isClosed = false;
  std::optional<Call> m_call;
  Time m_backOffUntil{};
};

} // namespace fennelline

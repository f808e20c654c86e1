#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/Message.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace fennelline {

struct UsageSettings {
  /// How long to wait for an acknowledgement before sending the copy to another peer.
  Duration m_copyTimeout = Milliseconds(60);
  /// How long to wait for any peer's acknowledgement before settling the record directly.
  Duration m_directAfter = Milliseconds(200);
  /// How long to wait for either before the record counts as held by this entry only.
  Duration m_giveUpAfter = Milliseconds(500);
  /// The minimum time between two settlements of one entry.
  Duration m_settleInterval = Seconds(5);
  /// The maximum rate of settlements of all entries together. The interval of one entry grows with
  /// the number of entries.
  double m_maxSettlementsPerSecond = 16.0;
  /// How long to wait for the reply to a platform call before it counts as lost.
  Duration m_callTimeout = Seconds(3);
  /// How long the origin must be gone before a holder of copies settles them.
  Duration m_deadDelay = Seconds(20);
  /// How long ago the ledger of an entry that is gone must have been written before it is added to
  /// the totals. No entry creates a ledger for records older than half of this, so that a removed
  /// ledger never reappears. A running entry writes its ledger at least once per quarter of this.
  Duration m_compactAfter = Seconds(86400);
  Duration m_compactInterval = Seconds(3600);
  /// The number of its own unsettled records at which an entry should refuse work, and the maximum
  /// number of copies that it stores for others.
  std::size_t m_maxRecords = 100000;
};

enum class UsageResult : std::uint8_t {
  /// A second entry or the platform holds the record, so the last byte of the answer may be sent.
  Durable,
  /// Neither a peer nor the platform stored the record in time. It is kept here and settled as soon
  /// as possible; it is lost only if this process ends before that. It is never counted twice.
  LocalOnly,
};

/// How a record is stored. Each UsageLedger::Record() leads to exactly one outcome.
struct UsageOutcome {
  std::uint64_t m_sequence = 0;
  RequestIdentity m_identity;
  AttemptId m_attempt;
  UsageResult m_result = UsageResult::Durable;
};

/// The platform keys: one ledger per origin entry, and the totals of entries that are gone.
constexpr const char* kLedgerPrefix = "fennelline/ledger/";
constexpr const char* kTotalsKey = "fennelline/totals/usage";

/// Stores the usage of each answered request until it is settled on the platform, exactly once.
///
/// Record() numbers the record and sends a copy to a peer, preferably in another data centre.
/// Batches of records are settled by compare-and-swap into one key per origin, which holds totals
/// per customer and the set of sequence numbers included. Any entry that settles records (the
/// origin, or a holder of copies once the origin is gone) adds only those whose numbers are not in
/// the set, so nothing is counted twice.
class UsageLedger {
public:
  using UsageStep = Step<UsageOutcome>;

  UsageLedger(UsageSettings aSettings, EntryId aSelf, DataCentre aDataCentre, std::uint64_t aSeed);
  ~UsageLedger();
  UsageLedger(UsageLedger&&) noexcept;
  UsageLedger& operator=(UsageLedger&&) noexcept;

  /// Records the usage of a request. Sets m_origin and m_sequence.
  UsageStep Record(UsageRecord aRecord, Time aNow);

  UsageStep OnMessage(const EntryId& aFrom, const Message& aMessage, Time aNow);
  UsageStep OnPlatformReply(const PlatformReply& aReply, Time aNow);
  UsageStep OnMembers(std::span<const MemberDigest> aMembers, Time aNow);
  UsageStep Tick(Time aNow);

  /// Settles immediately. Call this before the entry stops, then wait until CountUnsettled() is
  /// zero.
  UsageStep Flush(Time aNow);

  /// Too many of this entry's records are unsettled; refuse work until the platform is back.
  bool IsFull() const;
  /// This entry was considered dead for so long that its ledger was removed. It must be restarted;
  /// until then, records are kept here only.
  bool IsClosed() const;

  /// The number of this entry's records that are not settled yet, and of copies held for others.
  std::size_t CountUnsettled() const;
  std::size_t CountCopiesHeld() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace fennelline

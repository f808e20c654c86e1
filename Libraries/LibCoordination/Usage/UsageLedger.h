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
  /// A copy without an acknowledgement goes to another peer after this long.
  Duration m_copyTimeout = Milliseconds(60);
  /// After this long without any peer's acknowledgement, the record is settled directly.
  Duration m_directAfter = Milliseconds(200);
  /// After this long without either, the record counts as held here only.
  Duration m_giveUpAfter = Milliseconds(500);
  /// The least time between two settlements of one entry.
  Duration m_settleInterval = Seconds(5);
  /// All entries together settle at most this often, so the interval grows with their number.
  double m_maxSettlementsPerSecond = 16.0;
  /// A platform call without a reply counts as lost after this long.
  Duration m_callTimeout = Seconds(3);
  /// A holder of copies settles them when their origin has been gone this long.
  Duration m_deadDelay = Seconds(20);
  /// The ledger of an entry that is gone is added to the totals when it was last written this long
  /// ago. Nobody makes a ledger for records older than half of this, so that a ledger which was
  /// removed never comes back; a living entry writes its ledger at least each quarter of this.
  Duration m_compactAfter = Seconds(86400);
  Duration m_compactInterval = Seconds(3600);
  /// Above this many unsettled records of its own an entry should refuse work, and above this many
  /// copies it takes no more of them.
  std::size_t m_mostRecords = 100000;
};

enum class UsageResult : std::uint8_t {
  /// A second entry, or the platform, holds the record: the answer's last byte may leave.
  Held,
  /// Neither a peer nor the platform could take the record in time. It is kept here and settled as
  /// soon as can be; it is lost only if this process ends before. It never counts twice.
  HeldHereOnly,
};

/// How a record is kept. Each Record() gets exactly one.
struct UsageOutcome {
  std::uint64_t m_sequence = 0;
  RequestIdentity m_identity;
  AttemptId m_attempt;
  UsageResult m_result = UsageResult::Durable;
};

/// The platform's keys: one ledger per origin entry, and the totals of entries that are gone.
constexpr const char* kLedgerPrefix = "fennelline/ledger/";
constexpr const char* kTotalsKey = "fennelline/totals/usage";

/// Keeps what each answered request cost until the platform has it, once.
///
/// Record() numbers the record and gives a copy to an entry in another data centre. Batches of
/// consecutive numbers are settled by compare-and-swap into one key per origin, which holds totals
/// per customer and the set of numbers they contain. Whoever settles (the origin, or a holder of
/// copies after its death) adds only numbers that are not in the set, so nothing counts twice.
class UsageLedger {
public:
  using UsageStep = Step<UsageOutcome>;

  UsageLedger(UsageSettings aSettings, EntryId aSelf, DataCentre aDataCentre, std::uint64_t aSeed);
  ~UsageLedger();
  UsageLedger(UsageLedger&&) noexcept;
  UsageLedger& operator=(UsageLedger&&) noexcept;

  /// Takes a record; m_origin and m_sequence are set here.
  UsageStep Record(UsageRecord aRecord, Time aNow);

  UsageStep OnMessage(const EntryId& aFrom, const Message& aMessage, Time aNow);
  UsageStep OnPlatformReply(const PlatformReply& aReply, Time aNow);
  UsageStep OnMembers(std::span<const MemberDigest> aMembers, Time aNow);
  UsageStep Tick(Time aNow);

  /// Settles at once; call when the entry is about to stop, then wait for Unsettled() to be zero.
  UsageStep Flush(Time aNow);

  /// Too many own records are unsettled: refuse work until the platform is back.
  bool IsFull() const;
  /// This entry was taken for dead so long that its ledger is gone. It must stop and start anew;
  /// further records are kept here only.
  bool IsClosed() const;

  /// Own records that the platform does not have yet, and copies held for others.
  std::size_t Unsettled() const;
  std::size_t CopiesHeld() const;

private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace fennelline

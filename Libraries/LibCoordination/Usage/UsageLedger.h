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
  /// The least time between two settlements of one entry.
  Duration m_settleInterval = Seconds(30);
  /// A platform call without a reply counts as lost after this long.
  Duration m_callTimeout = Seconds(3);
  /// A holder of copies settles them when their origin has been gone this long.
  Duration m_deadDelay = Seconds(20);
  /// Each further entry in the order of precedence waits this much longer to settle or to compact.
  Duration m_takeoverDelay = Seconds(5);
  /// The ledger of a dead entry is folded into the totals after this long.
  Duration m_compactAfter = Seconds(300);
  /// No further records are taken above this many unsettled ones.
  std::size_t m_mostRecords = 100000;
};

enum class UsageResult : std::uint8_t {
  /// A second entry, or the platform, holds the record: the answer's last byte may leave.
  Held,
  /// Neither a peer nor the platform could take the record in time, or memory is full. The record
  /// is kept here and will be settled while this process lives; see UsageLedger.
  HeldHereOnly,
};

/// How a record is kept. Each Record() gets exactly one.
struct UsageHeld {
  std::uint64_t m_sequence = 0;
  RequestIdentity m_identity;
  AttemptId m_attempt;
  UsageResult m_result = UsageResult::Held;
};

/// The platform's keys: one ledger per origin entry, and the totals of entries that are gone.
constexpr const char* kLedgerPrefix = "fennelline/ledger/";
constexpr const char* kTotalsPrefix = "fennelline/totals/";

/// Keeps what each answered request cost until the platform has it, once.
///
/// Record() numbers the record and gives a copy to an entry in another data centre. Batches of
/// consecutive numbers are settled by compare-and-swap into one key per origin, which holds totals
/// per customer and the set of numbers they contain. Whoever settles (the origin, or a holder of
/// copies after its death) adds only numbers that are not in the set, so nothing counts twice.
class UsageLedger {
public:
  using UsageStep = Step<UsageHeld>;

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

  /// Own records that the platform does not have yet, and copies held for others.
  std::size_t Unsettled() const;
  std::size_t CopiesHeld() const;

private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace fennelline

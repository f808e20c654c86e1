#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibCoordination/PlatformCall.h"
#include "LibCoordination/Usage/SequenceRanges.h"
#include "LibCoordination/UsageMessages.h"

#include <cstdint>
#include <map>
#include <string>

namespace fennelline {

/// The total cost and number of a customer's requests.
struct CustomerTotal {
  std::int64_t m_micros = 0;
  std::int64_t m_requests = 0;

  friend bool operator==(const CustomerTotal&, const CustomerTotal&) = default;
};

using CustomerTotals = std::map<std::string, CustomerTotal>;

/// Adds aAdded multiplied by aFactor; a factor of -1 subtracts it.
void AddTotals(CustomerTotals& aTotals, const CustomerTotals& aAdded, std::int64_t aFactor = 1);

/// The settled usage of one origin entry: the sequence numbers of its settled records and their
/// totals.
struct Ledger {
  SequenceRanges m_settled;
  CustomerTotals m_customers;
  /// The writer's clock at the last write. Compaction compares it on the scale of hours.
  Time m_writtenAt{};

  /// Adds a record unless its sequence number is already settled.
  void Settle(const UsageRecord& aRecord);
};

std::string WriteLedger(const Ledger& aLedger);
Result<Ledger> ParseLedger(const std::string& aText);

/// The totals of ledgers that were removed, and of those about to be removed.
struct LedgerTotals {
  /// A ledger that was added to the totals: the amounts added, and the ledger's revision then.
  struct Folded {
    Revision m_revision = 0;
    CustomerTotals m_customers;
  };
  CustomerTotals m_customers;
  /// Ledgers that were added to the totals and are not removed yet.
  std::map<std::string, Folded> m_folded;
};

std::string WriteTotals(const LedgerTotals& aTotals);
Result<LedgerTotals> ParseTotals(const std::string& aText);

std::string LedgerKey(const EntryId& aOrigin);

} // namespace fennelline

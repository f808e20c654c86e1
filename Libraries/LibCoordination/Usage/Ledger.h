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

/// What a customer owes.
struct CustomerTotal {
  std::int64_t m_micros = 0;
  std::int64_t m_requests = 0;

  friend bool operator==(const CustomerTotal&, const CustomerTotal&) = default;
};

using CustomerTotals = std::map<std::string, CustomerTotal>;

/// Adds aFactor times aAdded; -1 takes it away.
void AddTotals(CustomerTotals& aTotals, const CustomerTotals& aAdded, std::int64_t aFactor = 1);

/// The settled usage of one origin entry: the numbers of its settled records and their sum.
struct Ledger {
  SequenceRanges m_settled;
  CustomerTotals m_customers;
  /// The writer's clock at the last write. Compaction goes by it, in hours.
  Time m_writtenAt{};

  /// Adds a record, unless its number is settled already.
  void Settle(const UsageRecord& aRecord);
};

std::string WriteLedger(const Ledger& aLedger);
Result<Ledger> ParseLedger(const std::string& aText);

/// The sums of ledgers that are gone, and of those that are about to go.
struct LedgerTotals {
  /// How a ledger was added in: what was added, and the ledger's revision then.
  struct Folded {
    Revision m_revision = 0;
    CustomerTotals m_customers;
  };
  CustomerTotals m_customers;
  /// Ledgers that are added in and not removed yet.
  std::map<std::string, Folded> m_folded;
};

std::string WriteTotals(const LedgerTotals& aTotals);
Result<LedgerTotals> ParseTotals(const std::string& aText);

std::string LedgerKey(const EntryId& aOrigin);

} // namespace fennelline

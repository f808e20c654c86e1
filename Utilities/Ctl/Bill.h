#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/PlatformCall.h"
#include "LibCoordination/Usage/Ledger.h"

#include <string>
#include <vector>

namespace fennelline {

/// What each customer owes: the totals, and the ledgers without what the totals contain already.
/// The totals and the ledgers must have been read without a write of the totals in between.
Result<CustomerTotals> ComputeBill(const LedgerTotals& aTotals,
                                   const std::vector<KeyValue>& aLedgers);

std::string RenderBill(const CustomerTotals& aBill, const std::string& aCurrency);
std::string WriteBill(const CustomerTotals& aBill, const std::string& aCurrency);

} // namespace fennelline

#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/PlatformCall.h"
#include "LibCoordination/Usage/Ledger.h"

#include <string>
#include <vector>

namespace fennelline {

/// Computes the amount due for each customer: the totals plus the part of each ledger that is not
/// yet included in the totals. The totals must not change while the ledgers are read.
Result<CustomerTotals> ComputeBill(const LedgerTotals& aTotals,
                                   const std::vector<KeyValue>& aLedgers);

std::string RenderBill(const CustomerTotals& aBill, const std::string& aCurrency);
std::string WriteBill(const CustomerTotals& aBill, const std::string& aCurrency);

} // namespace fennelline

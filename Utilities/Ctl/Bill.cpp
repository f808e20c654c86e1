#include "Utilities/Ctl/Bill.h"

#include "Utilities/Ctl/Table.h"

#include <nlohmann/json.hpp>

namespace fennelline {

Result<CustomerTotals> ComputeBill(const LedgerTotals& aTotals,
                                   const std::vector<KeyValue>& aLedgers) {
  CustomerTotals bill = aTotals.m_customers;
  for (const KeyValue& keyValue : aLedgers) {
    const Ledger ledger = TRY(ParseLedger(keyValue.m_value));
    AddTotals(bill, ledger.m_customers);
    const auto folded = aTotals.m_folded.find(keyValue.m_key);
    if (folded != aTotals.m_folded.end()) {
      AddTotals(bill, folded->second.m_customers, -1);
    }
  }
  return bill;
}

std::string RenderBill(const CustomerTotals& aBill, const std::string& aCurrency) {
  Table table({"CUSTOMER", "REQUESTS", "MICROS " + aCurrency});
  for (const auto& [customer, total] : aBill) {
    table.AddRow({customer, std::to_string(total.m_requests), std::to_string(total.m_micros)});
  }
  return table.Render();
}

std::string WriteBill(const CustomerTotals& aBill, const std::string& aCurrency) {
  nlohmann::json customers = nlohmann::json::object();
  for (const auto& [customer, total] : aBill) {
    customers[customer] = {{"requests", total.m_requests}, {"micros", total.m_micros}};
  }
  const nlohmann::json document = {{"currency", aCurrency}, {"customers", customers}};
  return document.dump() + "\n";
}

} // namespace fennelline

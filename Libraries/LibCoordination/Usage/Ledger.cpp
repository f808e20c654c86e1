#include "LibCoordination/Usage/Ledger.h"

#include "LibBase/FieldReader.h"
#include "LibCoordination/Usage/UsageLedger.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fennelline {

namespace {

nlohmann::json ToJson(const CustomerTotals& aTotals) {
  nlohmann::json json = nlohmann::json::array();
  for (const std::pair<const std::string, CustomerTotal>& total : aTotals) {
    json.push_back({{"customer", total.first},
                    {"micros", total.second.m_micros},
                    {"requests", total.second.m_requests}});
  }
  return json;
}

CustomerTotals ReadCustomers(FieldReader& aReader) {
  CustomerTotals totals;
  aReader.Objects("customers", [&](FieldReader& aCustomer) {
    CustomerTotal& total = totals[aCustomer.String("customer")];
    total.m_micros = aCustomer.Integer("micros", {});
    total.m_requests = aCustomer.Integer("requests", {});
  });
  return totals;
}

} // namespace

void AddTotals(CustomerTotals& aTotals, const CustomerTotals& aAdded, std::int64_t aFactor) {
  for (const std::pair<const std::string, CustomerTotal>& added : aAdded) {
    CustomerTotal& total = aTotals[added.first];
    total.m_micros += aFactor * added.second.m_micros;
    total.m_requests += aFactor * added.second.m_requests;
  }
}

void Ledger::Settle(const UsageRecord& aRecord) {
  if (m_settled.Contains(aRecord.m_sequence)) {
    return;
  }
  m_settled.Add(aRecord.m_sequence);
  CustomerTotal& total = m_customers[aRecord.m_identity.m_customer];
  total.m_micros += aRecord.m_costMicros;
  ++total.m_requests;
}

std::string WriteLedger(const Ledger& aLedger) {
  nlohmann::json settled = nlohmann::json::array();
  for (const std::pair<const std::uint64_t, std::uint64_t>& range : aLedger.m_settled.Ranges()) {
    settled.push_back({{"first", range.first}, {"last", range.second}});
  }
  const nlohmann::json json = {{"settled", settled},
                               {"customers", ToJson(aLedger.m_customers)},
                               {"at", InMilliseconds(aLedger.m_writtenAt.time_since_epoch())}};
  return json.dump();
}

Result<Ledger> ParseLedger(const std::string& aText) {
  const std::shared_ptr<const nlohmann::json> json = TRY(ParseJson(aText));
  FieldReader reader(*json, "ledger");
  Ledger ledger;
  ledger.m_customers = ReadCustomers(reader);
  reader.Objects("settled", [&](FieldReader& aRange) {
    const std::int64_t first = aRange.Integer("first", {.m_min = 1});
    const std::int64_t last = aRange.Integer("last", {.m_min = first});
    ledger.m_settled.AddRange(static_cast<std::uint64_t>(first), static_cast<std::uint64_t>(last));
  });
  ledger.m_writtenAt = Time(Milliseconds(reader.Integer("at", {})));
  TRY(reader.Finish());
  return ledger;
}

std::string WriteTotals(const LedgerTotals& aTotals) {
  nlohmann::json folded = nlohmann::json::array();
  for (const std::pair<const std::string, LedgerTotals::Folded>& entry : aTotals.m_folded) {
    folded.push_back({{"ledger", entry.first},
                      {"revision", entry.second.m_revision},
                      {"customers", ToJson(entry.second.m_customers)}});
  }
  const nlohmann::json json = {{"customers", ToJson(aTotals.m_customers)}, {"folded", folded}};
  return json.dump();
}

Result<LedgerTotals> ParseTotals(const std::string& aText) {
  const std::shared_ptr<const nlohmann::json> json = TRY(ParseJson(aText));
  FieldReader reader(*json, "totals");
  LedgerTotals totals;
  totals.m_customers = ReadCustomers(reader);
  reader.Objects("folded", [&](FieldReader& aFolded) {
    LedgerTotals::Folded& folded = totals.m_folded[aFolded.String("ledger")];
    folded.m_revision = static_cast<Revision>(aFolded.Integer("revision", {.m_min = 0}));
    folded.m_customers = ReadCustomers(aFolded);
  });
  TRY(reader.Finish());
  return totals;
}

std::string LedgerKey(const EntryId& aOrigin) {
  return kLedgerPrefix + aOrigin;
}

} // namespace fennelline

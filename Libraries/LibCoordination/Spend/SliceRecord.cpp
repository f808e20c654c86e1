#include "LibCoordination/Spend/SliceRecord.h"

#include "LibBase/FieldReader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

/// More than the number of entries that run at a time. The value stays far below the platform's
/// limit of one megabyte.
constexpr std::size_t kMaxShares = 1000;

} // namespace

std::int64_t SliceRecord::ShareOf(const EntryId& aEntry) const {
  const auto share = std::find_if(m_shares.begin(), m_shares.end(),
                                  [&](const Share& aShare) { return aShare.m_entry == aEntry; });
  return share == m_shares.end() ? 0 : share->m_micros;
}

void SliceRecord::SetShare(const EntryId& aEntry, std::int64_t aMicros) {
  m_drawnMicros += aMicros - ShareOf(aEntry);
  std::erase_if(m_shares, [&](const Share& aShare) { return aShare.m_entry == aEntry; });
  m_shares.push_back({.m_entry = aEntry, .m_micros = aMicros});
  if (m_shares.size() > kMaxShares) {
    m_shares.erase(m_shares.begin());
  }
}

std::string WriteSlices(const SliceRecord& aRecord) {
  nlohmann::json shares = nlohmann::json::array();
  for (const SliceRecord::Share& share : aRecord.m_shares) {
    shares.push_back({{"entry", share.m_entry}, {"micros", share.m_micros}});
  }
  const nlohmann::json json = {{"drawn", aRecord.m_drawnMicros}, {"shares", shares}};
  return json.dump();
}

Result<SliceRecord> ParseSlices(const std::string& aText) {
  const std::shared_ptr<const nlohmann::json> json = TRY(ParseJson(aText));
  FieldReader reader(*json, "slices");
  SliceRecord record;
  record.m_drawnMicros = reader.Integer("drawn", {.m_min = 0});
  reader.Objects("shares", [&](FieldReader& aShare) {
    record.m_shares.push_back(
      {.m_entry = aShare.String("entry"), .m_micros = aShare.Integer("micros", {.m_min = 0})});
  });
  TRY(reader.Finish());
  return record;
}

} // namespace fennelline

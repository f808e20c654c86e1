#include "LibBase/FieldReader.h"
#include "LibRouting/CrashRecord.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

/// More refusals in a row than any retention time allows.
constexpr std::int64_t kMaxRefusals = 100;

} // namespace

std::string WriteCrashRecord(const CrashRecord& aRecord) {
  return nlohmann::json{{"refusals", aRecord.m_refusals}}.dump();
}

Result<CrashRecord> ParseCrashRecord(const std::string& aText) {
  const std::shared_ptr<const nlohmann::json> document = TRY(ParseJson(aText));
  FieldReader reader(*document, "", UnknownFields::Ignore);
  CrashRecord record;
  record.m_refusals =
    static_cast<std::size_t>(reader.Integer("refusals", {.m_min = 1, .m_max = kMaxRefusals}));
  const Result<void> outcome = reader.Finish();
  if (outcome.IsError()) {
    return outcome.GetError();
  }
  return record;
}

} // namespace fennelline

#include "LibBase/FieldReader.h"
#include "LibRouting/RolloutRecord.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace fennelline {

bool RolloutRecord::IsAheadOf(const RolloutRecord& aOther) const {
  // Neither of the last two phases ever follows the other one.
  const RolloutPhase phase = std::min(m_phase, RolloutPhase::Succeeded);
  const RolloutPhase other = std::min(aOther.m_phase, RolloutPhase::Succeeded);
  return m_orderRevision == aOther.m_orderRevision && phase > other;
}

std::string WriteRolloutRecord(const RolloutRecord& aRecord) {
  const nlohmann::json document = {
    {"service", aRecord.m_service},
    {"version", aRecord.m_version},
    {"orderRevision", aRecord.m_orderRevision},
    {"phase", std::string(NameOf(kRolloutPhaseNames, aRecord.m_phase))}};
  return document.dump();
}

Result<RolloutRecord> ParseRolloutRecord(const std::string& aText) {
  const std::shared_ptr<const nlohmann::json> document = TRY(ParseJson(aText));
  FieldReader reader(*document, "", UnknownFields::Ignore);
  RolloutRecord record;
  record.m_service = reader.String("service");
  record.m_version = reader.String("version");
  record.m_orderRevision = static_cast<std::uint64_t>(reader.Integer(
    "orderRevision", {.m_min = 0, .m_max = std::numeric_limits<std::int64_t>::max()}));
  record.m_phase = reader.Enum("phase", kRolloutPhaseNames);
  const Result<void> outcome = reader.Finish();
  if (outcome.IsError()) {
    return outcome.GetError();
  }
  return record;
}

} // namespace fennelline

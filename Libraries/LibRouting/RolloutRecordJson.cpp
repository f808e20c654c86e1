#include "LibBase/FieldReader.h"
#include "LibRouting/RolloutRecord.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

/// The servers of earlier ones have long drained.
constexpr std::size_t kMaxFailedVersions = 8;

} // namespace

bool RolloutRecord::IsAheadOf(const RolloutRecord& aOther) const {
  // Neither of the last two phases ever follows the other one.
  const RolloutPhase phase = std::min(m_phase, RolloutPhase::Succeeded);
  const RolloutPhase other = std::min(aOther.m_phase, RolloutPhase::Succeeded);
  return m_orderRevision == aOther.m_orderRevision && phase > other;
}

std::vector<std::string> FailedVersions(const RolloutRecord& aLast, const std::string& aTarget) {
  std::vector<std::string> failed = aLast.m_failedVersions;
  if (!aLast.m_version.empty()) {
    std::erase(failed, aLast.m_version);
    if (aLast.m_phase != RolloutPhase::Succeeded) {
      failed.push_back(aLast.m_version);
    }
  }
  std::erase(failed, aTarget);
  const std::size_t excess = failed.size() - std::min(failed.size(), kMaxFailedVersions);
  failed.erase(failed.begin(), failed.begin() + static_cast<std::ptrdiff_t>(excess));
  return failed;
}

std::string WriteRolloutRecord(const RolloutRecord& aRecord) {
  const nlohmann::json document = {
    {"service", aRecord.m_service},
    {"version", aRecord.m_version},
    {"orderRevision", aRecord.m_orderRevision},
    {"phase", std::string(NameOf(kRolloutPhaseNames, aRecord.m_phase))},
    {"failedVersions", aRecord.m_failedVersions}};
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
  record.m_failedVersions = reader.Strings("failedVersions");
  const Result<void> outcome = reader.Finish();
  if (outcome.IsError()) {
    return outcome.GetError();
  }
  return record;
}

} // namespace fennelline

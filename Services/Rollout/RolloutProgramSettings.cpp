#include "Services/Rollout/RolloutProgramSettings.h"

#include "LibBase/FieldReader.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kHourMs = 3'600'000;
constexpr double kMinRate = 0.000'001;
constexpr double kMaxRate = 0.9;

void ParseTest(FieldReader& aReader, RolloutProgramSettings& aSettings) {
  const Range<double> rate{kMinRate, kMaxRate};
  aSettings.m_goodRate = aReader.Number("good_rate", rate, aSettings.m_goodRate);
  aSettings.m_badRate = aReader.Number("bad_rate", rate, aSettings.m_badRate);
  aSettings.m_falseAlarm = aReader.Number("false_alarm", rate, aSettings.m_falseAlarm);
  aSettings.m_falseAdvance = aReader.Number("false_advance", rate, aSettings.m_falseAdvance);
  if (aSettings.m_badRate <= aSettings.m_goodRate) {
    aReader.Fail("bad_rate", "must be above good_rate");
  }
}

} // namespace

Result<RolloutProgramSettings> ParseRolloutProgramSettings(const std::string& aText) {
  const std::shared_ptr<const nlohmann::json> document = TRY(ParseJson(aText));
  RolloutProgramSettings settings;
  FieldReader reader(*document, "");
  settings.m_name = reader.String("name");
  settings.m_address = reader.String("address", "127.0.0.1");
  settings.m_adminPort = static_cast<int>(reader.Integer("admin_port", {0, kMaxPort}, 0));
  settings.m_platformAddress = reader.String("platform_address");
  settings.m_entryAdminAddress = reader.String("entry_admin_address");
  settings.m_portsFile = reader.String("ports_file", "");
  settings.m_sharedSecrets = reader.Strings("shared_secrets");
  if (settings.m_sharedSecrets.empty()) {
    reader.Fail("shared_secrets", "must have at least one secret");
  }
  settings.m_enginesThatCheck = reader.Strings("engines_that_check");
  settings.m_allEnginesCheck = reader.Boolean("all_engines_check", false);
  settings.m_mostLoads = reader.Integer("most_loads", {1, 1'000}, settings.m_mostLoads);
  settings.m_loadSpacing =
    reader.DurationMs("load_spacing_ms", {0, kHourMs}, settings.m_loadSpacing);
  settings.m_leaseLife = reader.DurationMs("lease_life_ms", {3'000, kHourMs}, settings.m_leaseLife);
  settings.m_leasePollInterval =
    reader.DurationMs("lease_poll_interval_ms", {100, kHourMs}, settings.m_leasePollInterval);
  settings.m_leastStepTime =
    reader.DurationMs("least_step_time_ms", {0, 24 * kHourMs}, settings.m_leastStepTime);
  ParseTest(reader, settings);
  TRY(reader.Finish());
  return settings;
}

} // namespace fennelline

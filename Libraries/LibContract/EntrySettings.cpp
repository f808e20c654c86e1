#include "LibContract/EntrySettings.h"

#include "LibBase/FieldReader.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kDayMs = 24LL * 3'600 * 1'000;
constexpr std::size_t kMinSecretLength = 16;

int ParsePort(FieldReader& aReader, const std::string& aName) {
  return static_cast<int>(aReader.Integer(aName, {0, kMaxPort}, 0));
}

std::vector<std::string> ParseSecrets(FieldReader& aReader, const std::string& aName) {
  std::vector<std::string> secrets = aReader.Strings(aName);
  if (secrets.empty()) {
    aReader.Fail(aName, "must have at least one secret");
  }
  for (const std::string& secret : secrets) {
    if (secret.size() < kMinSecretLength) {
      aReader.Fail(aName, "each must have at least 16 characters");
    }
  }
  return secrets;
}

} // namespace

Result<EntrySettings> ParseEntrySettings(const std::string& aText) {
  const std::shared_ptr<const nlohmann::json> document = TRY(ParseJson(aText));
  EntrySettings settings;
  FieldReader reader(*document, "");
  settings.m_name = reader.String("name");
  settings.m_dataCentre = reader.String("data_centre");
  settings.m_address = reader.String("address", "127.0.0.1");
  settings.m_callerPort = ParsePort(reader, "caller_port");
  settings.m_adminPort = ParsePort(reader, "admin_port");
  settings.m_streamPort = ParsePort(reader, "stream_port");
  settings.m_datagramPort = ParsePort(reader, "datagram_port");
  settings.m_platformAddress = reader.String("platform_address");
  settings.m_portsFile = reader.String("ports_file", "");
  settings.m_sharedSecrets = ParseSecrets(reader, "shared_secrets");
  settings.m_sessionKeys = ParseSecrets(reader, "session_keys");
  settings.m_entryListLife =
    reader.DurationMs("entry_list_life_ms", {100, kDayMs}, settings.m_entryListLife);
  settings.m_leaveMargin =
    reader.DurationMs("leave_margin_ms", {0, kDayMs}, settings.m_leaveMargin);
  settings.m_stopLimit = reader.DurationMs("stop_limit_ms", {100, kDayMs}, settings.m_stopLimit);
  settings.m_retryWindow =
    reader.DurationMs("retry_window_ms", {1'000, kDayMs}, settings.m_retryWindow);
  reader.Objects("distances", [&settings](FieldReader& aReader) {
    const std::string dataCentre = aReader.String("data_centre");
    const Duration oneWay{aReader.Integer("one_way_us", {0, 1'000'000})};
    settings.m_distances.emplace_back(dataCentre, oneWay);
  });
  TRY(reader.Finish());
  return settings;
}

} // namespace fennelline

#include "LibContract/Configuration.h"
#include "LibContract/EntrySettings.h"
#include "Tests/Documents/Page.h"

#include <nlohmann/json.hpp>
#include <optional>

using namespace fennelline;
using namespace fennelline::test;
using nlohmann::json;

namespace {

enum Column { RangeColumn = 2, DefaultColumn = 3, ColumnCount = 5 };

/// A document in which each object and each field stands once.
json SampleConfiguration() {
  return json::parse(R"({"currency": "ZAR",
    "versions": [
      {"name": "tagger@1", "input_micros_per_1000_tokens": 1, "output_micros_per_1000_tokens": 2,
       "state": "serving", "prior_quality": 0.5},
      {"name": "tagger@2", "input_micros_per_1000_tokens": 1, "output_micros_per_1000_tokens": 2}],
    "services": [{"name": "counter", "operations": [
      {"name": "stock", "idempotent": true, "cost_micros": 3}]}],
    "contracts": [{"customer": "mopane", "key_hashes": [], "models": ["tagger"],
      "spend_limit_micros": 9, "spend_period_ms": 60000, "share": 1.0,
      "kinds": [{"name": "tag", "deadline_ms": 300, "quality_target": 0.9,
                 "urgency": "interactive", "models": [], "service": "", "operation": ""}]}],
    "rollouts": [{"name": "r", "from": "tagger@1", "to": "tagger@2", "step": 0,
      "state": "running", "reason": "", "steps": [{"percent": 1}, {"percent": 100}]}]})");
}

json SampleSettings() {
  return json::parse(R"({"name": "e1", "data_centre": "north", "address": "127.0.0.1",
    "caller_port": 0, "admin_port": 0, "stream_port": 0, "datagram_port": 0,
    "platform_address": "127.0.0.1:1", "ports_file": "",
    "shared_secrets": ["sixteen-characters"], "session_keys": ["sixteen-characters"],
    "entry_list_life_ms": 5000, "leave_margin_ms": 2000, "stop_limit_ms": 60000,
    "retry_window_ms": 600000, "distances": [{"data_centre": "south", "one_way_us": 1500}]})");
}

/// Parses a document; the error's text, or nothing.
using Parse = std::optional<std::string> (*)(const json&);

std::optional<std::string> ParseAsConfiguration(const json& aDocument) {
  const Result<Configuration> parsed = ParseConfiguration(aDocument.dump());
  return parsed ? std::nullopt : std::optional<std::string>(parsed.GetError().m_detail);
}

std::optional<std::string> ParseAsSettings(const json& aDocument) {
  const Result<EntrySettings> parsed = ParseEntrySettings(aDocument.dump());
  return parsed ? std::nullopt : std::optional<std::string>(parsed.GetError().m_detail);
}

/// An object of a document and the heading of its table.
struct Place {
  const char* m_heading;
  const char* m_pointer;
};

constexpr Place kConfigurationPlaces[] = {
  {"Configuration", ""},           {"versions[]", "/versions/0"},
  {"services[]", "/services/0"},   {"services[].operations[]", "/services/0/operations/0"},
  {"contracts[]", "/contracts/0"}, {"contracts[].kinds[]", "/contracts/0/kinds/0"},
  {"rollouts[]", "/rollouts/0"},   {"rollouts[].steps[]", "/rollouts/0/steps/0"},
};
constexpr Place kSettingsPlaces[] = {
  {"Entry settings", ""},
  {"distances[]", "/distances/0"},
};

/// The names that the parser allows in an object, from its refusal of an unknown one.
std::set<std::string> AllowedNames(const json& aSample, const Place& aPlace, Parse aParse) {
  json document = aSample;
  document[json::json_pointer(aPlace.m_pointer)]["no_such_field"] = 1;
  const std::string refusal = aParse(document).value_or("");
  const std::string marker = "allowed are: ";
  const std::size_t start = refusal.find(marker);
  REQUIRE_MESSAGE(start != std::string::npos, refusal);
  std::set<std::string> names;
  std::istringstream stream(refusal.substr(start + marker.size()));
  std::string name;
  while (std::getline(stream, name, ',')) {
    names.insert(Trim(name));
  }
  return names;
}

/// "LEAST to MOST", from the parser's refusal of a number that is far too large.
std::string RangeOf(const json& aSample, const std::string& aPointer, Parse aParse) {
  json document = aSample;
  document[json::json_pointer(aPointer)] = std::numeric_limits<std::int64_t>::max();
  const std::string refusal = aParse(document).value_or("");
  const std::size_t start = refusal.find(" from ");
  return start == std::string::npos ? refusal : refusal.substr(start + 6);
}

void CheckPlace(const json& aSample, const Place& aPlace, const Tables& aTables, Parse aParse) {
  INFO(aPlace.m_heading);
  REQUIRE(aTables.contains(aPlace.m_heading));
  const std::map<std::string, Cells>& rows = aTables.at(aPlace.m_heading);
  std::set<std::string> documented;
  for (const auto& [name, cells] : rows) {
    documented.insert(name);
  }
  CHECK(documented == AllowedNames(aSample, aPlace, aParse));
  for (const auto& row : rows) {
    const std::string& name = row.first;
    const Cells& cells = row.second;
    INFO(name);
    REQUIRE(cells.size() == ColumnCount);
    const std::string pointer = std::string(aPlace.m_pointer) + "/" + name;
    const json& value = aSample.at(json::json_pointer(pointer));
    if (value.is_number()) {
      CHECK(cells[RangeColumn] == RangeOf(aSample, pointer, aParse));
    }
    json without = aSample;
    without[json::json_pointer(aPlace.m_pointer)].erase(name);
    // What other parts of the document refer to is not missing by itself.
    const std::optional<std::string> refusal = aParse(without);
    const bool refersToIt = refusal && refusal->find("of this document") != std::string::npos;
    const bool required = refusal && !refersToIt;
    CHECK((cells[DefaultColumn] == "required") == required);
  }
}

std::string DefaultText(const json& aValue) {
  const std::string text = aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
  return text.empty() ? "empty" : text;
}

} // namespace

TEST_CASE("the page lists the fields of a configuration with their ranges") {
  const Tables tables = ReadTables("docs/SETTINGS.md");
  REQUIRE_FALSE(ParseAsConfiguration(SampleConfiguration()));
  for (const Place& place : kConfigurationPlaces) {
    CheckPlace(SampleConfiguration(), place, tables, &ParseAsConfiguration);
  }
}

TEST_CASE("the page lists the fields of an entry's settings with their ranges") {
  const Tables tables = ReadTables("docs/SETTINGS.md");
  REQUIRE_FALSE(ParseAsSettings(SampleSettings()));
  for (const Place& place : kSettingsPlaces) {
    CheckPlace(SampleSettings(), place, tables, &ParseAsSettings);
  }
}

TEST_CASE("the page gives the defaults of a configuration") {
  const Tables tables = ReadTables("docs/SETTINGS.md");
  for (const Place& place : kConfigurationPlaces) {
    for (const auto& row : tables.at(place.m_heading)) {
      const std::string& name = row.first;
      json document = SampleConfiguration();
      document[json::json_pointer(place.m_pointer)].erase(name);
      const Result<Configuration> parsed = ParseConfiguration(document.dump());
      if (parsed.IsError()) {
        continue;
      }
      INFO(place.m_heading, ".", name);
      const json written = json::parse(WriteConfiguration(parsed.Get()));
      const json& object = written.at(json::json_pointer(place.m_pointer));
      const std::string value =
        object.contains(name) ? DefaultText(object.at(name)) : std::string("empty");
      CHECK(row.second[DefaultColumn] == value);
    }
  }
}

TEST_CASE("the page gives the defaults of an entry's settings") {
  const std::map<std::string, Cells> rows = ReadTables("docs/SETTINGS.md").at("Entry settings");
  const EntrySettings defaults;
  const auto milliseconds = [](Duration aDuration) {
    return std::to_string(InMilliseconds(aDuration));
  };
  CHECK(rows.at("entry_list_life_ms")[DefaultColumn] == milliseconds(defaults.m_entryListLife));
  CHECK(rows.at("leave_margin_ms")[DefaultColumn] == milliseconds(defaults.m_leaveMargin));
  CHECK(rows.at("stop_limit_ms")[DefaultColumn] == milliseconds(defaults.m_stopLimit));
  CHECK(rows.at("retry_window_ms")[DefaultColumn] == milliseconds(defaults.m_retryWindow));
  json shortest = SampleSettings();
  shortest.erase("address");
  shortest.erase("caller_port");
  const EntrySettings parsed = ParseEntrySettings(shortest.dump()).Take();
  CHECK(rows.at("address")[DefaultColumn] == parsed.m_address);
  CHECK(rows.at("caller_port")[DefaultColumn] == std::to_string(parsed.m_callerPort));
}

#include "LibTimeline/TimelineLine.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace fennelline {

using nlohmann::ordered_json;

namespace {

void AddUnlessEmpty(ordered_json& aObject, const char* aName, const std::string& aValue) {
  if (!aValue.empty()) {
    aObject[aName] = aValue;
  }
}

std::string TextOf(const ordered_json& aObject, const char* aName) {
  return aObject.value(aName, std::string());
}

TimelineLine ReadLine(const ordered_json& aObject) {
  TimelineLine line;
  line.m_process = aObject.at("process").get<std::string>();
  line.m_number = aObject.at("number").get<std::uint64_t>();
  line.m_clock = aObject.at("clock").get<std::uint64_t>();
  line.m_at = Time(Duration(aObject.at("at_us").get<std::int64_t>()));
  line.m_record.m_name = aObject.at("name").get<std::string>();
  line.m_record.m_request = TextOf(aObject, "request");
  line.m_record.m_session = TextOf(aObject, "session");
  line.m_record.m_version = TextOf(aObject, "version");
  const auto fields = aObject.find("fields");
  if (fields != aObject.end()) {
    for (const auto& [name, value] : fields->items()) {
      line.m_record.m_fields.emplace_back(name, value.get<std::string>());
    }
  }
  return line;
}

} // namespace

std::string WriteTimelineLine(const TimelineLine& aLine) {
  ordered_json object = {{"process", aLine.m_process},
                         {"number", aLine.m_number},
                         {"clock", aLine.m_clock},
                         {"at_us", aLine.m_at.time_since_epoch().count()},
                         {"name", aLine.m_record.m_name}};
  AddUnlessEmpty(object, "request", aLine.m_record.m_request);
  AddUnlessEmpty(object, "session", aLine.m_record.m_session);
  AddUnlessEmpty(object, "version", aLine.m_record.m_version);
  if (!aLine.m_record.m_fields.empty()) {
    ordered_json fields = ordered_json::object();
    for (const auto& [name, value] : aLine.m_record.m_fields) {
      fields[name] = value;
    }
    object["fields"] = fields;
  }
  // Callers may send invalid UTF-8, which must not prevent the line from being written.
  constexpr int kCompact = -1;
  return object.dump(kCompact, ' ', false, ordered_json::error_handler_t::replace);
}

Result<TimelineLine> ParseTimelineLine(const std::string& aText) {
  try {
    return ReadLine(ordered_json::parse(aText));
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorCode::InvalidJson, std::string("not a timeline record: ") + error.what());
  }
}

Result<std::vector<TimelineLine>> ParseTimelineLines(const std::string& aText) {
  std::vector<TimelineLine> lines;
  std::istringstream stream(aText);
  std::string text;
  for (std::size_t number = 1; std::getline(stream, text); ++number) {
    if (text.empty()) {
      continue;
    }
    Result<TimelineLine> line = ParseTimelineLine(text);
    if (line.IsError()) {
      return MakeError(ErrorCode::InvalidJson,
                       "line " + std::to_string(number) + ": " + line.GetError().m_detail);
    }
    lines.push_back(line.Take());
  }
  return lines;
}

std::string FieldOf(const TimelineRecord& aRecord, const std::string& aName) {
  for (const auto& [name, value] : aRecord.m_fields) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

} // namespace fennelline

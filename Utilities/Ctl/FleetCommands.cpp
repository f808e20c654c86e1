#include "Utilities/Ctl/FleetCommands.h"

#include "LibTimeline/TimelineMerge.h"
#include "LibTimeline/TimelineRender.h"
#include "Utilities/Ctl/FleetStatus.h"

#include <charconv>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

namespace fennelline {

namespace {

constexpr std::chrono::milliseconds kPollInterval{50};

ExitCode CodeOf(const FleetStatus& aFleet) {
  return aFleet.m_entries.empty() ? ExitCode::Unavailable : ExitCode::Ok;
}

} // namespace

FleetCommands::FleetCommands(AdminClient& aClient, std::vector<std::string> aAddresses,
                             CommandOutput& aOutput)
  : m_client(aClient)
  , m_addresses(std::move(aAddresses))
  , m_output(aOutput) {}

ExitCode FleetCommands::Status() {
  const FleetStatus fleet = ReadFleet(m_client, m_addresses);
  m_output.Print(m_output.IsJson() ? WriteFleet(fleet) : RenderFleet(fleet));
  if (!m_output.IsJson()) {
    for (const Error& error : fleet.m_errors) {
      m_output.Report(error);
    }
  }
  return CodeOf(fleet);
}

ExitCode FleetCommands::InForce(std::uint64_t aRevision, Duration aWait) {
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + aWait;
  FleetStatus fleet = ReadFleet(m_client, m_addresses);
  std::vector<std::string> behind = EntriesBehind(fleet, aRevision);
  // An entry that cannot be reached may still apply an older revision.
  while ((!behind.empty() || !fleet.m_errors.empty()) && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
    fleet = ReadFleet(m_client, m_addresses);
    behind = EntriesBehind(fleet, aRevision);
  }
  if (fleet.m_entries.empty()) {
    return m_output.Report(fleet.m_errors.front());
  }
  const bool everywhere = behind.empty() && fleet.m_errors.empty();
  std::vector<std::string> unreachable;
  for (const Error& error : fleet.m_errors) {
    unreachable.push_back(error.m_detail);
  }
  if (m_output.IsJson()) {
    const nlohmann::json answer = {{"revision", aRevision},
                                   {"in_force", everywhere},
                                   {"entries", fleet.m_entries.size()},
                                   {"behind", behind},
                                   {"errors", unreachable}};
    m_output.Print(answer.dump() + "\n");
  } else {
    std::string text = "revision " + std::to_string(aRevision) + " is in force on " +
                       std::to_string(fleet.m_entries.size() - behind.size()) + " of " +
                       std::to_string(fleet.m_entries.size()) + " entries\n";
    for (const std::string& entry : behind) {
      text += "behind: " + entry + "\n";
    }
    for (const std::string& detail : unreachable) {
      text += "unreachable: " + detail + "\n";
    }
    m_output.Print(text);
  }
  return everywhere ? ExitCode::Ok : ExitCode::Failed;
}

ExitCode FleetCommands::Explain(const std::string& aRequest) {
  const FleetStatus fleet = ReadFleet(m_client, m_addresses);
  std::vector<TimelineLine> lines;
  for (const EntryStatus& entry : fleet.m_entries) {
    const std::string target = "/admin/explain?request=" + PercentEncode(aRequest);
    const Result<std::string> text = m_client.Get(entry.m_adminAddress, target);
    if (text.IsError()) {
      m_output.Report(text.GetError());
      continue;
    }
    Result<std::vector<TimelineLine>> page = ParseTimelineLines(text.Get());
    if (page) {
      std::vector<TimelineLine> taken = page.Take();
      lines.insert(lines.end(), std::make_move_iterator(taken.begin()),
                   std::make_move_iterator(taken.end()));
    }
  }
  lines = MergeTimelines(std::move(lines));
  m_output.Print(m_output.IsJson() ? RenderTimelineJson(lines) : RenderTimelineText(lines));
  if (!lines.empty()) {
    return ExitCode::Ok;
  }
  if (fleet.m_entries.empty() && !fleet.m_errors.empty()) {
    return m_output.Report(fleet.m_errors.front());
  }
  return m_output.Report(MakeError(ErrorCode::NotFound, "explain: no entry has records of \"" +
                                                          aRequest +
                                                          "\"; entries keep only recent records"));
}

Result<Duration> ParseWait(const std::string& aText) {
  std::int64_t count = 0;
  const char* end = aText.data() + aText.size();
  const std::from_chars_result parsed = std::from_chars(aText.data(), end, count);
  const std::string unit(parsed.ptr, end);
  constexpr std::int64_t kMaxSeconds = 3'600;
  if (parsed.ec == std::errc() && count >= 0 && count <= kMaxSeconds * 1'000) {
    if (unit == "ms") {
      return Milliseconds(count);
    }
    if (unit == "s" && count <= kMaxSeconds) {
      return Seconds(count);
    }
  }
  return MakeError(ErrorCode::InvalidField,
                   "--wait: \"" + aText + "\" is not a duration such as 3s or 500ms, at most 1 h");
}

} // namespace fennelline

#include "LibTimeline/TimelineMerge.h"
#include "LibTimeline/TimelineRender.h"
#include "Utilities/Ctl/ExitCode.h"
#include "Utilities/Timeline/FetchTimeline.h"
#include "Utilities/Timeline/Replay.h"

#include <gflags/gflags.h>
#include <iostream>
#include <iterator>

DEFINE_string(admin, "", "Comma-separated admin addresses of entries, IP:PORT");
DEFINE_string(secret_file, "", "A file whose first line is one of the entries' shared secrets");
DEFINE_string(request, "", "Keep only records of the request with this key");
DEFINE_string(session, "", "Keep only records of this session");
DEFINE_string(model_version, "", "Keep only records of this model version, MODEL@NUMBER");
DEFINE_string(process, "", "Keep only records of this process, NAME or NAME#INCARNATION");
DEFINE_string(name, "", "Keep only records whose name has this prefix, such as \"claim.\"");
DEFINE_string(settings, "", "replay: the settings file of the entry that made the recording");

namespace {

using namespace fennelline;

constexpr const char* kUsage =
  "Reads the timelines of entries.\n"
  "  fennelline-timeline fetch --admin ADDR,ADDR --secret_file FILE   merged JSON lines\n"
  "  fennelline-timeline merge FILE...      merged JSON lines of several files\n"
  "  fennelline-timeline filter [FILE...]   JSON lines that match --request, --session, "
  "--model_version,\n"
  "                                         --process and --name\n"
  "  fennelline-timeline text [FILE...]     one line of columns per record\n"
  "  fennelline-timeline json [FILE...]     JSON lines\n"
  "  fennelline-timeline svg [FILE...]      an SVG diagram\n"
  "  fennelline-timeline replay FILE --settings FILE\n"
  "                                         replays recorded events in the reducer\n"
  "Without FILE, or for \"-\", standard input is read. Filters apply to every command.\n"
  "Exit codes: 0 ok, 1 failed or the replay differs, 2 bad input, 4 an entry is unavailable";

ExitCode Report(const Error& aError) {
  std::cerr << "fennelline-timeline: " << aError.m_detail << "\n";
  return ExitCodeOf(aError);
}

TimelineFilter FilterOfFlags() {
  return {.m_request = FLAGS_request,
          .m_session = FLAGS_session,
          .m_version = FLAGS_model_version,
          .m_process = FLAGS_process,
          .m_name = FLAGS_name};
}

Result<std::vector<TimelineLine>> ReadFiles(std::vector<std::string> aPaths) {
  if (aPaths.empty()) {
    aPaths.emplace_back("-");
  }
  std::vector<TimelineLine> lines;
  for (const std::string& path : aPaths) {
    const std::string text = TRY(ReadInput(path));
    std::vector<TimelineLine> fileLines = TRY(ParseTimelineLines(text));
    lines.insert(lines.end(), std::make_move_iterator(fileLines.begin()),
                 std::make_move_iterator(fileLines.end()));
  }
  return FilterTimeline(FilterOfFlags(), MergeTimelines(std::move(lines)));
}

ExitCode Fetch() {
  const std::vector<std::string> addresses = SplitList(FLAGS_admin);
  if (addresses.empty()) {
    return Report(MakeError(ErrorCode::MissingField, "--admin: give at least one IP:PORT"));
  }
  const Result<std::string> secret = ReadSecret(FLAGS_secret_file);
  if (secret.IsError()) {
    return Report(secret.GetError());
  }
  HttpTransport transport;
  AdminClient client(transport, secret.Get());
  FetchedTimeline fetched = FetchTimeline(client, addresses);
  std::cout << RenderTimelineJson(FilterTimeline(FilterOfFlags(), std::move(fetched.m_lines)));
  ExitCode code = ExitCode::Ok;
  for (const Error& error : fetched.m_errors) {
    code = Report(error);
  }
  return code;
}

ExitCode Render(const std::vector<std::string>& aPaths,
                std::string (*aRender)(const std::vector<TimelineLine>&)) {
  const Result<std::vector<TimelineLine>> lines = ReadFiles(aPaths);
  if (lines.IsError()) {
    return Report(lines.GetError());
  }
  std::cout << aRender(lines.Get());
  return ExitCode::Ok;
}

Result<ReplayOutcome> ReplayFiles(const std::vector<std::string>& aPaths) {
  const std::string settingsText = TRY(ReadInput(FLAGS_settings));
  const EntrySettings settings = TRY(ParseEntrySettings(settingsText));
  const std::vector<TimelineLine> lines = TRY(ReadFiles(aPaths));
  return ReplayTimeline(lines, settings);
}

ExitCode Replay(const std::vector<std::string>& aPaths) {
  if (FLAGS_settings.empty()) {
    return Report(
      MakeError(ErrorCode::MissingField,
                "--settings: give the settings file of the entry that made the recording"));
  }
  const Result<ReplayOutcome> outcome = ReplayFiles(aPaths);
  if (outcome.IsError()) {
    return Report(outcome.GetError());
  }
  const std::optional<ReplayDifference>& difference = outcome.Get().m_difference;
  if (!difference) {
    std::cout << outcome.Get().m_steps << " steps, the same effects in each\n";
    return ExitCode::Ok;
  }
  std::cout << "step " << outcome.Get().m_steps << ", record " << difference->m_number
            << ": the effects differ\nevent:    " << difference->m_event
            << "\nrecorded: " << difference->m_recorded << "\nreplayed: " << difference->m_replayed
            << "\n";
  return ExitCode::Failed;
}

ExitCode Run(const std::vector<std::string>& aWords) {
  const std::string command = aWords.empty() ? "" : aWords.front();
  const std::vector<std::string> paths(aWords.begin() + (aWords.empty() ? 0 : 1), aWords.end());
  if (command == "fetch") {
    return Fetch();
  }
  if (command == "merge" || command == "filter" || command == "json") {
    return Render(paths, &RenderTimelineJson);
  }
  if (command == "text") {
    return Render(paths, &RenderTimelineText);
  }
  if (command == "svg") {
    return Render(paths, &RenderTimelineSvg);
  }
  if (command == "replay") {
    return Replay(paths);
  }
  std::cerr << kUsage << "\n";
  return ExitCode::BadInput;
}

} // namespace

int main(int aCount, char** aArguments) {
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return static_cast<int>(Run({aArguments + 1, aArguments + aCount}));
}

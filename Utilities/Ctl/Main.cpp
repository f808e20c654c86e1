#include "LibBase/Sha256.h"
#include "Utilities/Ctl/AdminClient.h"
#include "Utilities/Ctl/ConfigurationCommands.h"
#include "Utilities/Ctl/ConfigurationEdits.h"
#include "Utilities/Ctl/FleetCommands.h"
#include "Utilities/Ctl/RequestExplanation.h"

#include <charconv>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(platform, "", "The platform's address, IP:PORT");
DEFINE_string(admin, "",
              "Comma-separated admin addresses of entries, IP:PORT; one is enough, since "
              "it reports the others");
DEFINE_string(secret_file, "", "A file whose first line is one of the entries' shared secrets");
DEFINE_bool(json, false, "Print one JSON document instead of text");
DEFINE_string(out, "", "show: write the document to this file for editing");
DEFINE_string(at, "", "apply: the revision that the file was read at; 0 for the first document");
DEFINE_string(wait, "3s", "in-force: how long to wait, such as 3s or 500ms");
DEFINE_string(logs, "",
              "explain: comma-separated log files of fennelline-edge processes; - for standard "
              "input");
DEFINE_string(mode, "", "withdraw: drain (sessions finish) or revoke (stops all use at once)");
DEFINE_string(from, "", "rollout start: the current version, MODEL@NUMBER");
DEFINE_string(to, "", "rollout start: the new version, MODEL@NUMBER");
DEFINE_string(steps, "1,5,25,100",
              "rollout start: percentages of new work that go to the new version");

namespace {

using namespace fennelline;

constexpr const char* kUsage =
  "Operates fennelline.\n"
  "  validate FILE                   checks a configuration without sending it anywhere\n"
  "  show [--out FILE]               prints the configuration, or writes it for editing\n"
  "  diff FILE                       prints the changes that a file would make\n"
  "  apply FILE [--at REVISION]      writes an edited configuration\n"
  "  rollout start NAME --from VERSION --to VERSION [--steps 1,5,25,100]\n"
  "  rollout pause NAME | rollout resume NAME | rollout status [NAME]\n"
  "  withdraw VERSION --mode drain|revoke\n"
  "  status                          entries, backend servers, revisions, spend\n"
  "  in-force REVISION [--wait 3s]   waits until each entry applies the revision\n"
  "  explain REQUEST                 explains the routing of a request, by its key\n"
  "  explain REQUEST --logs FILE,... explains its end by its id, from logs of fennelline-edge\n"
  "  key-hash                        reads a key from standard input, prints its SHA-256\n"
  "  bill                            prints the amount due for each customer\n"
  "The configuration commands and bill need --platform IP:PORT; status, in-force and explain\n"
  "need --admin IP:PORT and --secret_file FILE. --json prints JSON.\n"
  "Exit codes: 0 ok, 1 failed, 2 bad input, 3 conflict, 4 unavailable, 5 unresolved";

constexpr Duration kPlatformTimeout = Seconds(2);

Error Missing(const std::string& aDetail) {
  return MakeError(ErrorCode::MissingField, aDetail);
}

/// The positional arguments, and the objects that the commands use.
struct Session {
  std::vector<std::string> m_words;
  CommandOutput m_output{FLAGS_json, std::cout, std::cerr};
  HttpTransport m_transport;
  KeyValueClient m_client{m_transport, FLAGS_platform, kPlatformTimeout};
  BlockingClock m_clock;
  ConfigurationStore<KeyValueClient, BlockingClock> m_store{m_client, m_clock};
  ConfigurationCommands<ConfigurationStore<KeyValueClient, BlockingClock>> m_commands{m_store,
                                                                                      m_output};

  std::string Word(std::size_t aIndex) const {
    return aIndex < m_words.size() ? m_words[aIndex] : "";
  }
};

ExitCode Validate(Session& aSession) {
  const Result<std::string> text = ReadInput(aSession.Word(1));
  if (text.IsError()) {
    return aSession.m_output.Report(text.GetError());
  }
  const Result<Configuration> configuration = ParseConfiguration(text.Get());
  if (configuration.IsError()) {
    return aSession.m_output.Report(configuration.GetError());
  }
  aSession.m_output.Print(FLAGS_json ? "{\"outcome\":\"valid\"}\n" : "valid\n");
  return ExitCode::Ok;
}

ExitCode Diff(Session& aSession) {
  const Result<std::string> text = ReadInput(aSession.Word(1));
  return text ? aSession.m_commands.Diff(text.Get()) : aSession.m_output.Report(text.GetError());
}

/// Returns the revision that the file is based on, from --at or from its base file.
Result<WorkingCopyBase> BaseOf(const std::string& aPath) {
  if (!FLAGS_at.empty()) {
    WorkingCopyBase base;
    const char* end = FLAGS_at.data() + FLAGS_at.size();
    const std::from_chars_result parsed = std::from_chars(FLAGS_at.data(), end, base.m_revision);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return MakeError(ErrorCode::InvalidField, "--at: must be a whole number");
    }
    return base;
  }
  const std::optional<WorkingCopyBase> base = TRY(ReadBase(aPath));
  if (!base) {
    return Missing("--at: give the revision that the file was read at, as \"show\" prints it, or "
                   "create the file with \"show --out FILE\"");
  }
  return *base;
}

ExitCode Apply(Session& aSession) {
  const std::string path = aSession.Word(1);
  const Result<std::string> text = ReadInput(path);
  if (text.IsError()) {
    return aSession.m_output.Report(text.GetError());
  }
  const Result<WorkingCopyBase> base = BaseOf(path);
  if (base.IsError()) {
    return aSession.m_output.Report(base.GetError());
  }
  const ExitCode code = aSession.m_commands.Apply(text.Get(), base.Get());
  const std::optional<Revision> revision = aSession.m_commands.AppliedRevision();
  if (revision && path != "-") {
    const Result<void> noted = WriteBase(path, {*revision, text.Get()});
    if (noted.IsError()) {
      aSession.m_output.Report(noted.GetError());
    }
  }
  return code;
}

ExitCode StartRolloutCommand(Session& aSession, const std::string& aName) {
  const Result<std::vector<double>> percents = ParsePercents(FLAGS_steps);
  if (percents.IsError()) {
    return aSession.m_output.Report(percents.GetError());
  }
  const RolloutRequest request{aName, FLAGS_from, FLAGS_to, percents.Get()};
  return aSession.m_commands.Edit(
    [&request](Configuration& aConfiguration) { return StartRollout(aConfiguration, request); });
}

ExitCode RolloutCommand(Session& aSession) {
  const std::string action = aSession.Word(1);
  const std::string name = aSession.Word(2);
  if (action == "status") {
    return aSession.m_commands.RolloutStatus(name);
  }
  if (name.empty()) {
    return aSession.m_output.Report(Missing("rollout: give start, pause, resume or status, and "
                                            "the roll-out's name"));
  }
  if (action == "start") {
    return StartRolloutCommand(aSession, name);
  }
  if (action == "pause" || action == "resume") {
    const auto edit = action == "pause" ? &PauseRollout : &ResumeRollout;
    return aSession.m_commands.Edit(
      [&name, edit](Configuration& aConfiguration) { return edit(aConfiguration, name); });
  }
  return aSession.m_output.Report(
    Missing("rollout: \"" + action + "\" is not start, pause, resume or status"));
}

ExitCode Withdraw(Session& aSession) {
  const bool drain = FLAGS_mode == "drain";
  if (!drain && FLAGS_mode != "revoke") {
    return aSession.m_output.Report(
      Missing("--mode: give drain (sessions finish) or revoke (stops all use at once)"));
  }
  const std::string version = aSession.Word(1);
  const VersionState state = drain ? VersionState::Draining : VersionState::Revoked;
  return aSession.m_commands.Edit([&version, state](Configuration& aConfiguration) {
    return WithdrawVersion(aConfiguration, version, state);
  });
}

ExitCode RunFleetCommand(Session& aSession, const std::string& aCommand) {
  const std::vector<std::string> addresses = SplitList(FLAGS_admin);
  if (addresses.empty()) {
    return aSession.m_output.Report(
      Missing("--admin: give the admin address of at least one entry, IP:PORT"));
  }
  const Result<std::string> secret = ReadSecret(FLAGS_secret_file);
  if (secret.IsError()) {
    return aSession.m_output.Report(secret.GetError());
  }
  AdminClient client(aSession.m_transport, secret.Get());
  FleetCommands commands(client, addresses, aSession.m_output);
  if (aCommand == "status") {
    return commands.Status();
  }
  const std::string word = aSession.Word(1);
  if (aCommand == "explain") {
    return word.empty() ? aSession.m_output.Report(Missing("explain: give the request's key"))
                        : commands.Explain(word);
  }
  std::uint64_t revision = 0;
  const std::from_chars_result parsed =
    std::from_chars(word.data(), word.data() + word.size(), revision);
  if (word.empty() || parsed.ptr != word.data() + word.size()) {
    return aSession.m_output.Report(Missing("in-force: give a revision, as \"apply\" prints it"));
  }
  const Result<Duration> wait = ParseWait(FLAGS_wait);
  return wait ? commands.InForce(revision, wait.Get()) : aSession.m_output.Report(wait.GetError());
}

ExitCode ExplainFromLogs(Session& aSession) {
  const std::string request = aSession.Word(1);
  if (request.empty()) {
    return aSession.m_output.Report(Missing("explain: give the request's id"));
  }
  std::stringstream logs;
  for (const std::string& path : SplitList(FLAGS_logs)) {
    const Result<std::string> text = ReadInput(path);
    if (text.IsError()) {
      return aSession.m_output.Report(text.GetError());
    }
    logs << text.Get() << "\n";
  }
  const Result<RequestExplanation> explanation = ExplainRequest(logs, request);
  if (explanation.IsError()) {
    return aSession.m_output.Report(explanation.GetError());
  }
  aSession.m_output.Print(RenderExplanation(explanation.Get()));
  return ExitCode::Ok;
}

ExitCode KeyHash(Session& aSession) {
  std::string key;
  if (!std::getline(std::cin, key) || key.empty()) {
    return aSession.m_output.Report(Missing("key-hash: give the key on standard input"));
  }
  aSession.m_output.Print(Sha256Hex(key) + "\n");
  return ExitCode::Ok;
}

ExitCode RunPlatformCommand(Session& aSession, const std::string& aCommand) {
  if (FLAGS_platform.empty()) {
    return aSession.m_output.Report(Missing("--platform: give the platform's address, IP:PORT"));
  }
  if (aCommand == "show") {
    return aSession.m_commands.Show(FLAGS_out);
  }
  if (aCommand == "diff") {
    return Diff(aSession);
  }
  if (aCommand == "apply") {
    return Apply(aSession);
  }
  if (aCommand == "rollout") {
    return RolloutCommand(aSession);
  }
  if (aCommand == "withdraw") {
    return Withdraw(aSession);
  }
  return aSession.m_commands.Bill();
}

ExitCode Run(std::vector<std::string> aWords) {
  Session session{.m_words = std::move(aWords)};
  const std::string command = session.Word(0);
  if (command == "validate") {
    return Validate(session);
  }
  if (command == "key-hash") {
    return KeyHash(session);
  }
  if (command == "explain" && !FLAGS_logs.empty()) {
    return ExplainFromLogs(session);
  }
  if (command == "status" || command == "in-force" || command == "explain") {
    return RunFleetCommand(session, command);
  }
  const bool needsPlatform = command == "show" || command == "diff" || command == "apply" ||
                             command == "rollout" || command == "withdraw" || command == "bill";
  if (needsPlatform) {
    return RunPlatformCommand(session, command);
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

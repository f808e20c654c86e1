#include "Tests/Process/TestCluster.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr Duration kStartBound = Seconds(60);
constexpr Duration kCallTimeout = Seconds(30);
constexpr Duration kSideTimeout = Seconds(5);
constexpr int kOk = 200;
/// Of the claim table. With as many entries as holders, each entry holds every shard.
constexpr int kShards = 64;
constexpr int kHolders = 3;
constexpr const char* kSecret = "process-test-secret";

std::string MakeFolder() {
  std::string path = std::filesystem::temp_directory_path().string() + "/fennelline-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot make a folder for the test");
  }
  return path;
}

json VmOf(const ClusterMember& aMember, const std::string& aRole, std::size_t aIndex) {
  constexpr std::size_t kDataCentres = 3;
  return {{"name", aMember.m_name},
          {"address", aMember.m_listedAddress},
          {"data_centre", "dc-" + std::to_string(aIndex % kDataCentres)},
          {"role", aRole},
          {"state", aMember.m_leaving ? "leaving" : "live"}};
}

void AddVms(json& aVms, const std::vector<ClusterMember>& aMembers, const std::string& aRole) {
  for (std::size_t index = 0; index < aMembers.size(); ++index) {
    if (aMembers[index].m_listed) {
      aVms.push_back(VmOf(aMembers[index], aRole, index));
    }
  }
}

} // namespace

std::string ReadFile(const std::string& aPath) {
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string TextField(const std::string& aBody, const std::string& aName) {
  const json body = json::parse(aBody, nullptr, false);
  const bool found = body.is_object() && body.contains(aName) && body[aName].is_string();
  return found ? body[aName].get<std::string>() : "";
}

CallerRequestSpec Reservation(const std::string& aKey, const std::string& aItem) {
  return {.m_path = "/v1/services/counter/reserve",
          .m_kind = "tester-reservation",
          .m_key = aKey,
          .m_body = json{{"item", aItem}}.dump()};
}

CallerRequestSpec StockCheck(const std::string& aKey) {
  return {.m_path = "/v1/services/counter/stock",
          .m_kind = "stock-check",
          .m_key = aKey,
          .m_body = R"({"item": "shade-1"})"};
}

CallerRequestSpec Chat(const std::string& aKey, const std::string& aPrompt, int aMostTokens,
                       bool aStream) {
  const json message = {{"role", "user"}, {"content", aPrompt}};
  const json body = {
    {"messages", json::array({message})}, {"max_tokens", aMostTokens}, {"stream", aStream}};
  return {.m_path = "/v1/chat/completions", .m_kind = "chat", .m_key = aKey, .m_body = body.dump()};
}

TestCluster::TestCluster(const ClusterOptions& aOptions)
  : m_options(aOptions)
  , m_folder(MakeFolder()) {
  m_platform = StartStandin("platform", "fennelline-standin-platform", {});
  for (int number = 0; number < aOptions.m_engines; ++number) {
    std::vector<std::string> flags = {"--versions", "small@3,medium@2,large@5", "--platform",
                                      m_platform.m_address};
    flags.insert(flags.end(), aOptions.m_engineFlags.begin(), aOptions.m_engineFlags.end());
    m_engines.push_back(
      StartStandin("engine-" + std::to_string(number), "fennelline-standin-engine", flags));
  }
  for (int number = 0; number < aOptions.m_services; ++number) {
    m_services.push_back(StartStandin("service-" + std::to_string(number),
                                      "fennelline-standin-service", aOptions.m_serviceFlags));
  }
  const std::string text = ReadFile(std::string(FENNELLINE_SOURCE_DIR) + "/examples/demo.json");
  if (PutConfiguration(text, 0).m_status != kOk) {
    throw std::runtime_error("cannot write the configuration");
  }
  for (int number = 0; number < aOptions.m_entries; ++number) {
    m_entries.push_back(StartEntry(number));
  }
  PublishVms();
  for (const ClusterMember& entry : m_entries) {
    if (!WaitUntil(kStartBound, [&] { return IsReady(entry); })) {
      throw std::runtime_error(entry.m_name + " is not ready: " + Status(entry).dump());
    }
  }
}

TestCluster::~TestCluster() {
  // The entries go before the programs that they call.
  m_entries.clear();
  m_services.clear();
  m_engines.clear();
  m_platform = {};
  const char* keep = std::getenv("KEEP_LOGS");
  if (keep != nullptr) {
    std::cerr << "logs are in " << m_folder << "\n";
  } else {
    std::filesystem::remove_all(m_folder);
  }
}

int TestCluster::WaitForPort(const std::string& aName) {
  const std::string path = PathOf(aName + ".json");
  if (!WaitUntil(kStartBound, [&] { return std::filesystem::exists(path); })) {
    throw std::runtime_error(aName + " did not start: " + ReadFile(PathOf(aName + ".log")));
  }
  return json::parse(ReadFile(path)).value("port", 0);
}

ClusterMember TestCluster::StartStandin(const std::string& aName, const std::string& aProgram,
                                        std::vector<std::string> aFlags) {
  aFlags.insert(aFlags.end(), {"--ports_file", PathOf(aName + ".json")});
  ClusterMember member;
  member.m_name = aName;
  member.m_process = ChildProcess(aProgram, aFlags, PathOf(aName + ".log"));
  member.m_address = "127.0.0.1:" + std::to_string(WaitForPort(aName));
  member.m_listedAddress = member.m_address;
  const bool isBackend = aName != "platform";
  if (isBackend && m_options.m_relayBackends) {
    AddRelay(member);
  }
  return member;
}

void TestCluster::AddRelay(ClusterMember& aMember) {
  const std::string name = "relay-" + aMember.m_name;
  aMember.m_relay = ChildProcess(
    "fennelline-relay", {"--target", aMember.m_address, "--ports_file", PathOf(name + ".json")},
    PathOf(name + ".log"));
  aMember.m_relayControl = "127.0.0.1:" + std::to_string(WaitForPort(name));
  const json relay = json::parse(Get(aMember.m_relayControl, "/relay").m_body);
  aMember.m_listedAddress = "127.0.0.1:" + std::to_string(relay.at("port").get<int>());
}

ClusterMember TestCluster::StartEntry(int aNumber) {
  constexpr int kListLifeMs = 1000;
  constexpr int kLeaveMarginMs = 500;
  constexpr int kStopLimitMs = 30'000;
  const std::string name = "entry-" + std::to_string(aNumber);
  const json settings = {{"name", name},
                         {"data_centre", "dc-" + std::to_string(aNumber)},
                         {"platform_address", m_platform.m_address},
                         {"ports_file", PathOf(name + ".json")},
                         {"shared_secrets", json::array({kSecret})},
                         {"session_keys", json::array({"process-test-session-key"})},
                         {"entry_list_life_ms", kListLifeMs},
                         {"leave_margin_ms", kLeaveMarginMs},
                         {"stop_limit_ms", kStopLimitMs}};
  const std::string settingsPath = PathOf(name + "-settings.json");
  std::ofstream(settingsPath) << settings.dump();
  ClusterMember entry;
  entry.m_name = name;
  entry.m_process =
    ChildProcess("fennelline-entry", {"--settings", settingsPath}, PathOf(name + ".log"));
  WaitForPort(name);
  const json ports = json::parse(ReadFile(PathOf(name + ".json")));
  entry.m_address = ports.at("caller_address").get<std::string>();
  entry.m_adminAddress = ports.at("admin_address").get<std::string>();
  entry.m_datagramAddress = ports.at("datagram_address").get<std::string>();
  entry.m_listedAddress = entry.m_datagramAddress;
  return entry;
}

void TestCluster::PublishVms() {
  json vms = json::array();
  AddVms(vms, m_entries, "entry");
  AddVms(vms, m_engines, "model");
  AddVms(vms, m_services, "service:counter");
  Control(m_platform.m_address, {{"vms", vms}});
}

bool TestCluster::IsReady(const ClusterMember& aEntry) {
  const json status = Status(aEntry);
  if (status.value("standing", std::string()) != "current" || status.value("revision", 0) == 0) {
    return false;
  }
  const json& claims = status["claims"];
  const bool hasClaims =
    claims.value("views", 0) == kShards && claims["shards_held"] == claims["shards_served"] &&
    (m_options.m_entries != kHolders || claims.value("shards_served", 0) == kShards);
  const json& servers = status["backend_servers"];
  bool known = servers.size() == m_engines.size() + m_services.size();
  for (const json& server : servers) {
    const bool hasVersions = server["role"] != "model" || !server["versions"].empty();
    known = known && server.value("reachable", false) && hasVersions &&
            server.value("report_age_ms", -1) >= 0;
  }
  return hasClaims && known && status["members"].size() == m_entries.size();
}

HttpReply TestCluster::Send(const std::string& aAddress, const HttpRequest& aRequest) {
  return m_http.Call(aAddress, aRequest,
                     {.m_readTimeout = kSideTimeout, .m_totalTimeout = kSideTimeout});
}

HttpReply TestCluster::Get(const std::string& aAddress, const std::string& aTarget) {
  return Send(aAddress, {.m_target = aTarget});
}

HttpReply TestCluster::Call(const ClusterMember& aEntry, const CallerRequestSpec& aSpec) {
  HttpRequest request{.m_method = "POST",
                      .m_target = aSpec.m_path,
                      .m_headers = {{"Authorization", "Bearer " + aSpec.m_bearer},
                                    {"Fennelline-Kind", aSpec.m_kind},
                                    {"Idempotency-Key", aSpec.m_key}},
                      .m_body = aSpec.m_body};
  if (!aSpec.m_session.empty()) {
    request.m_headers.emplace_back("Fennelline-Session", aSpec.m_session);
  }
  return m_http.Call(aEntry.m_address, request,
                     {.m_readTimeout = kCallTimeout, .m_totalTimeout = kCallTimeout});
}

std::future<HttpReply> TestCluster::CallLater(const ClusterMember& aEntry,
                                              const CallerRequestSpec& aSpec) {
  return std::async(std::launch::async,
                    [this, &aEntry, spec = aSpec] { return Call(aEntry, spec); });
}

void TestCluster::Control(const std::string& aAddress, const json& aSwitches) {
  const HttpReply reply =
    Send(aAddress, {.m_method = "POST", .m_target = "/control", .m_body = aSwitches.dump()});
  if (reply.m_status != kOk) {
    throw std::runtime_error("control was refused: " + reply.m_body);
  }
}

json TestCluster::Runs(const ClusterMember& aBackend) {
  const json journal = json::parse(Get(aBackend.m_address, "/journal").m_body);
  json runs = json::array();
  for (const json& run : journal.at("runs")) {
    if (run.at("state") != "refused") {
      runs.push_back(run);
    }
  }
  return runs;
}

std::size_t TestCluster::CountRuns(const std::vector<ClusterMember>& aBackends,
                                   const std::string& aWhat) {
  std::size_t count = 0;
  for (const ClusterMember& backend : aBackends) {
    for (const json& run : Runs(backend)) {
      count += run.value("operation", run.value("version", std::string())) == aWhat ? 1 : 0;
    }
  }
  return count;
}

json TestCluster::Status(const ClusterMember& aEntry) {
  const HttpReply reply = Send(
    aEntry.m_adminAddress, {.m_target = "/admin/status",
                            .m_headers = {{"Authorization", std::string("Bearer ") + kSecret}}});
  const json status = json::parse(reply.m_body, nullptr, false);
  return status.is_object() ? status : json::object();
}

HttpReply TestCluster::PutConfiguration(const std::string& aText, std::uint64_t aExpected) {
  const json body = {{"value", aText}, {"expected_revision", aExpected}};
  return Send(
    m_platform.m_address,
    {.m_method = "PUT", .m_target = "/kv/fennelline%2Fconfiguration", .m_body = body.dump()});
}

} // namespace fennelline

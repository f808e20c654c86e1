#pragma once

#include "LibPlatform/HttpTransport.h"
#include "Tests/Process/ChildProcess.h"
#include "Tests/Process/WaitUntil.h"

#include <future>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fennelline {

struct ClusterOptions {
  int m_entries = 3;
  int m_engines = 2;
  int m_services = 1;
  /// Puts a relay between the entries and each engine and service.
  bool m_relayBackends = false;
  std::vector<std::string> m_engineFlags;
  std::vector<std::string> m_serviceFlags;
};

/// A stand-in or an entry that runs.
struct ClusterMember {
  std::string m_name;
  ChildProcess m_process;
  /// Where callers, operators and controls reach it.
  std::string m_address;
  std::string m_adminAddress;
  std::string m_datagramAddress;
  /// With a relay: the relay's own control address, and the address that entries use.
  ChildProcess m_relay;
  std::string m_relayControl;
  std::string m_listedAddress;
  bool m_listed = true;
  bool m_leaving = false;
};

/// A request as a caller of examples/demo.json sends it.
struct CallerRequestSpec {
  std::string m_path;
  std::string m_kind;
  std::string m_key;
  std::string m_body;
  std::string m_bearer = "demo-key";
  std::string m_session;
};

/// A whole system on loopback: stand-ins, entries, and examples/demo.json in force.
class TestCluster {
public:
  explicit TestCluster(const ClusterOptions& aOptions = {});
  ~TestCluster();
  TestCluster(const TestCluster&) = delete;
  TestCluster& operator=(const TestCluster&) = delete;

  ClusterMember m_platform;
  std::vector<ClusterMember> m_engines;
  std::vector<ClusterMember> m_services;
  std::vector<ClusterMember> m_entries;

  /// Sends a request to an entry and waits for the whole answer.
  HttpReply Call(const ClusterMember& aEntry, const CallerRequestSpec& aSpec);
  std::future<HttpReply> CallLater(const ClusterMember& aEntry, const CallerRequestSpec& aSpec);
  /// Sends POST /control to a stand-in; throws when it is refused.
  void Control(const std::string& aAddress, const nlohmann::json& aSwitches);
  /// The runs of a stand-in's journal that did not end as refused.
  nlohmann::json Runs(const ClusterMember& aBackend);
  /// Such runs of one operation or version over the given backend servers.
  std::size_t CountRuns(const std::vector<ClusterMember>& aBackends, const std::string& aWhat);
  nlohmann::json Status(const ClusterMember& aEntry);
  HttpReply Get(const std::string& aAddress, const std::string& aTarget);
  HttpReply Send(const std::string& aAddress, const HttpRequest& aRequest);
  /// Writes the configuration with compare-and-swap.
  HttpReply PutConfiguration(const std::string& aText, std::uint64_t aExpected);
  /// Gives the platform the list of all members that are listed.
  void PublishVms();
  /// Whether an entry has the configuration, its peers, its backend servers and its claims.
  bool IsReady(const ClusterMember& aEntry);

private:
  ClusterMember StartStandin(const std::string& aName, const std::string& aProgram,
                             std::vector<std::string> aFlags);
  void AddRelay(ClusterMember& aMember);
  ClusterMember StartEntry(int aNumber);
  int WaitForPort(const std::string& aName);
  std::string PathOf(const std::string& aFile) const { return m_folder + "/" + aFile; }

  ClusterOptions m_options;
  std::string m_folder;
  HttpTransport m_http;
};

/// Requests of the demo contract.
CallerRequestSpec Reservation(const std::string& aKey, const std::string& aItem = "tester-1");
CallerRequestSpec StockCheck(const std::string& aKey);
CallerRequestSpec Chat(const std::string& aKey, const std::string& aPrompt, int aMostTokens,
                       bool aStream);

std::string ReadFile(const std::string& aPath);
/// A field of a JSON body as text, or empty.
std::string TextField(const std::string& aBody, const std::string& aName);

} // namespace fennelline

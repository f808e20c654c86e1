#include "Tests/Process/TestCluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;
using nlohmann::json;

namespace {

constexpr int kOk = 200;

bool IsListed(TestCluster& aCluster, const ClusterMember& aAt, const std::string& aAddress) {
  const json reply = json::parse(aCluster.Get(aAt.m_address, "/v1/entries").m_body, nullptr, false);
  if (!reply.is_object() || !reply.contains("entries")) {
    return true;
  }
  for (const json& entry : reply["entries"]) {
    if (entry.at("address") == aAddress) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("A graceful stop of an entry cuts no request in flight") {
  TestCluster cluster;
  constexpr int kStreams = 6;
  constexpr int kTokens = 400;
  std::vector<std::future<HttpReply>> calls;
  for (int number = 0; number < kStreams; ++number) {
    const std::string prompt = "a long note " + std::to_string(number);
    calls.push_back(cluster.CallLater(cluster.m_entries[0],
                                      Chat("k-" + std::to_string(number), prompt, kTokens, true)));
  }
  const bool allRun = WaitUntil(Seconds(10), [&] {
    return cluster.Runs(cluster.m_engines[0]).size() + cluster.Runs(cluster.m_engines[1]).size() >=
           kStreams;
  });
  if (!allRun) {
    for (std::future<HttpReply>& call : calls) {
      const HttpReply reply = call.get();
      constexpr std::size_t kShown = 300;
      MESSAGE("status " << reply.m_status << " " << reply.m_body.substr(0, kShown));
    }
  }
  REQUIRE(allRun);
  cluster.m_entries[0].m_process.Signal(SIGTERM);
  CHECK(WaitUntil(Seconds(5), [&] {
    return !IsListed(cluster, cluster.m_entries[1], cluster.m_entries[0].m_address);
  }));
  for (std::future<HttpReply>& call : calls) {
    const HttpReply reply = call.get();
    REQUIRE_MESSAGE(reply.m_status == kOk, reply.m_body);
    CHECK(reply.m_body.ends_with("data: [DONE]\n\n"));
  }
  const std::optional<int> code = cluster.m_entries[0].m_process.WaitForExit(Seconds(40));
  REQUIRE(code.has_value());
  CHECK(*code == 0);
}

TEST_CASE("A leaving entry serves callers that still have its address, and then ends") {
  TestCluster cluster;
  cluster.m_entries[0].m_process.Signal(SIGTERM);
  const HttpReply reply = cluster.Call(cluster.m_entries[0], StockCheck("s-1"));
  CHECK_MESSAGE(reply.m_status == kOk, reply.m_body);
  const std::optional<int> code = cluster.m_entries[0].m_process.WaitForExit(Seconds(40));
  REQUIRE(code.has_value());
  CHECK(*code == 0);
}

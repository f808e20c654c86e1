#include "Tests/Process/TestCluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

/// Whether a reservation has reached a service.
bool HasReachedService(TestCluster& aCluster) {
  return aCluster.CountRuns(aCluster.m_services, "reserve") > 0;
}

} // namespace

TEST_CASE("A reservation whose entry dies before the answer is not run a second time") {
  TestCluster cluster({.m_serviceFlags = {"--work_ms", "1000"}});
  std::future<HttpReply> first = cluster.CallLater(cluster.m_entries[0], Reservation("r-1"));
  REQUIRE(WaitUntil(Seconds(10), [&] { return HasReachedService(cluster); }));
  cluster.m_entries[0].m_process.Signal(SIGKILL);

  const HttpReply second = cluster.Call(cluster.m_entries[1], Reservation("r-1"));
  const HttpReply third = cluster.Call(cluster.m_entries[2], Reservation("r-1"));

  CHECK(first.get().m_failure == HttpFailure::Lost);
  CHECK(second.m_status != kOk);
  CHECK(TextField(second.m_body, "ran") == "unknown");
  CHECK(third.m_status != kOk);
  CHECK(TextField(third.m_body, "ran") == "unknown");
  CHECK(cluster.CountRuns(cluster.m_services, "reserve") == 1);
}

TEST_CASE("A reservation whose entry is paused and woken runs once") {
  TestCluster cluster({.m_serviceFlags = {"--work_ms", "200"}});
  std::future<HttpReply> first = cluster.CallLater(cluster.m_entries[0], Reservation("r-1"));
  REQUIRE(WaitUntil(Seconds(10), [&] { return HasReachedService(cluster); }));
  cluster.m_entries[0].m_process.Signal(SIGSTOP);

  const HttpReply second = cluster.Call(cluster.m_entries[1], Reservation("r-1"));
  cluster.m_entries[0].m_process.Signal(SIGCONT);
  const HttpReply late = first.get();

  CHECK(TextField(second.m_body, "ran") == "unknown");
  INFO("the paused entry answered " << late.m_status << " " << late.m_body);
  CHECK(cluster.CountRuns(cluster.m_services, "reserve") == 1);
}

TEST_CASE("A reservation sent while a holder is paused runs, and runs once") {
  TestCluster cluster;
  cluster.m_entries[2].m_process.Signal(SIGSTOP);
  const HttpReply first = cluster.Call(cluster.m_entries[0], Reservation("r-1"));
  const HttpReply second = cluster.Call(cluster.m_entries[1], Reservation("r-1"));
  cluster.m_entries[2].m_process.Signal(SIGCONT);
  CHECK_MESSAGE(first.m_status == kOk, first.m_body);
  CHECK_MESSAGE(second.m_body == first.m_body, second.m_body);
  REQUIRE(WaitUntil(Seconds(20), [&] { return cluster.IsReady(cluster.m_entries[2]); }));
  const HttpReply third = cluster.Call(cluster.m_entries[2], Reservation("r-1"));
  CHECK_MESSAGE(third.m_body == first.m_body, third.m_body);
  CHECK(cluster.CountRuns(cluster.m_services, "reserve") == 1);
}

TEST_CASE("The same reservation sent to all entries at once runs once") {
  TestCluster cluster;
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds; ++round) {
    const CallerRequestSpec spec = Reservation("r-" + std::to_string(round));
    std::vector<std::future<HttpReply>> calls;
    for (const ClusterMember& entry : cluster.m_entries) {
      calls.push_back(cluster.CallLater(entry, spec));
    }
    std::string body;
    for (std::future<HttpReply>& call : calls) {
      const HttpReply reply = call.get();
      CHECK_MESSAGE(reply.m_status == kOk, "round " << round << ": " << reply.m_body);
      CHECK((body.empty() || reply.m_body == body));
      body = reply.m_body;
    }
  }
  CHECK(cluster.CountRuns(cluster.m_services, "reserve") == kRounds);
}

TEST_CASE("Another body under the same key is a conflict and runs nothing") {
  TestCluster cluster;
  const HttpReply first = cluster.Call(cluster.m_entries[0], Reservation("r-1", "tester-1"));
  REQUIRE_MESSAGE(first.m_status == kOk, first.m_body);
  const HttpReply second = cluster.Call(cluster.m_entries[1], Reservation("r-1", "tester-2"));
  CHECK(second.m_status == kConflict);
  CHECK(TextField(second.m_body, "code") == "key-reused");
  CHECK(cluster.CountRuns(cluster.m_services, "reserve") == 1);
}

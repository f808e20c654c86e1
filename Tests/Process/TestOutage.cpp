#include "Tests/Process/TestCluster.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;
using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
/// An accepted configuration has to be in force everywhere within this.
constexpr Duration kInForceBound = Seconds(3);

json Configuration(TestCluster& aCluster, std::uint64_t& aRevision) {
  const HttpReply reply =
    aCluster.Get(aCluster.m_platform.m_address, "/kv/fennelline%2Fconfiguration");
  const json stored = json::parse(reply.m_body);
  aRevision = stored.at("revision").get<std::uint64_t>();
  return json::parse(stored.at("value").get<std::string>());
}

bool IsInForceEverywhere(TestCluster& aCluster, std::uint64_t aRevision) {
  for (const ClusterMember& entry : aCluster.m_entries) {
    if (aCluster.Status(entry).value("revision", std::uint64_t{0}) != aRevision) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_CASE("During an outage of the platform requests are served, and reservations run once") {
  TestCluster cluster;
  cluster.Control(cluster.m_platform.m_address, {{"outage", true}});
  constexpr int kRounds = 5;
  for (int round = 0; round < kRounds; ++round) {
    const std::string key = "k-" + std::to_string(round);
    const HttpReply first = cluster.Call(cluster.m_entries[0], Reservation(key));
    const HttpReply second = cluster.Call(cluster.m_entries[1], Reservation(key));
    const HttpReply chat = cluster.Call(cluster.m_entries[2], Chat("c-" + key, "a note", 4, false));
    CHECK_MESSAGE(first.m_status == kOk, first.m_body);
    CHECK(second.m_body == first.m_body);
    CHECK_MESSAGE(chat.m_status == kOk, chat.m_body);
  }
  CHECK(cluster.CountRuns(cluster.m_services, "reserve") == kRounds);
  cluster.Control(cluster.m_platform.m_address, {{"outage", false}});
  const HttpReply after = cluster.Call(cluster.m_entries[0], Reservation("after"));
  CHECK_MESSAGE(after.m_status == kOk, after.m_body);
}

TEST_CASE("Of two racing operators one wins, and its configuration is soon in force everywhere") {
  TestCluster cluster;
  std::uint64_t revision = 0;
  json first = Configuration(cluster, revision);
  json second = first;
  first["versions"][0]["state"] = "draining";
  second["versions"][1]["state"] = "draining";
  std::future<HttpReply> other = std::async(
    std::launch::async, [&] { return cluster.PutConfiguration(second.dump(), revision); });
  const HttpReply mine = cluster.PutConfiguration(first.dump(), revision);
  const HttpReply theirs = other.get();
  CHECK(((mine.m_status == kOk && theirs.m_status == kConflict) ||
         (mine.m_status == kConflict && theirs.m_status == kOk)));
  std::uint64_t accepted = 0;
  const json winner = Configuration(cluster, accepted);
  CHECK(winner == (mine.m_status == kOk ? first : second));
  CHECK(WaitUntil(kInForceBound, [&] { return IsInForceEverywhere(cluster, accepted); }));
}

TEST_CASE("A configuration whose reply was lost is in force everywhere, also when sent twice") {
  TestCluster cluster;
  std::uint64_t revision = 0;
  json wanted = Configuration(cluster, revision);
  wanted["versions"][0]["state"] = "revoked";
  cluster.Control(cluster.m_platform.m_address, {{"lose_replies", 1.0}});
  const HttpReply lost = cluster.PutConfiguration(wanted.dump(), revision);
  cluster.Control(cluster.m_platform.m_address, {{"lose_replies", 0.0}});
  CHECK(lost.m_failure == HttpFailure::Lost);
  CHECK(cluster.PutConfiguration(wanted.dump(), revision).m_status == kConflict);
  std::uint64_t accepted = 0;
  CHECK(Configuration(cluster, accepted) == wanted);
  CHECK(WaitUntil(kInForceBound, [&] { return IsInForceEverywhere(cluster, accepted); }));
}

TEST_CASE("A revoked version gets no new work once the change is in force") {
  TestCluster cluster;
  std::uint64_t revision = 0;
  json wanted = Configuration(cluster, revision);
  const HttpReply before = cluster.Call(cluster.m_entries[0], Chat("b", "a note", 4, false));
  REQUIRE_MESSAGE(before.m_status == kOk, before.m_body);
  const std::string used = FindHeader(before, "Fennelline-Version");
  for (json& version : wanted["versions"]) {
    if (version["name"] == used) {
      version["state"] = "revoked";
    }
  }
  REQUIRE(cluster.PutConfiguration(wanted.dump(), revision).m_status == kOk);
  std::uint64_t accepted = 0;
  Configuration(cluster, accepted);
  REQUIRE(WaitUntil(kInForceBound, [&] { return IsInForceEverywhere(cluster, accepted); }));
  const std::size_t runs = cluster.CountRuns(cluster.m_engines, used);
  constexpr int kRequests = 30;
  for (int number = 0; number < kRequests; ++number) {
    const ClusterMember& entry = cluster.m_entries[static_cast<std::size_t>(number) % 3];
    const HttpReply reply =
      cluster.Call(entry, Chat("n-" + std::to_string(number), "a note", 4, false));
    CHECK_MESSAGE(reply.m_status == kOk, reply.m_body);
    CHECK(FindHeader(reply, "Fennelline-Version") != used);
  }
  CHECK(cluster.CountRuns(cluster.m_engines, used) == runs);
}

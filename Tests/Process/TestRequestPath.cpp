#include "Tests/Process/TestCluster.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;

namespace {

constexpr int kOk = 200;

} // namespace

TEST_CASE("Requests are served from caller to backend server and back") {
  TestCluster cluster;

  SUBCASE("a whole chat answer, with version and cost") {
    const HttpReply reply = cluster.Call(cluster.m_entries[0], Chat("a", "reorder note", 8, false));
    REQUIRE_MESSAGE(reply.m_status == kOk, reply.m_body);
    const std::string version = FindHeader(reply, "Fennelline-Version");
    CHECK(cluster.CountRuns(cluster.m_engines, version) == 1);
    CHECK(std::stoll(FindHeader(reply, "Fennelline-Cost-Micros")) > 0);
    const nlohmann::json body = nlohmann::json::parse(reply.m_body);
    CHECK(body.at("usage").at("completion_tokens") == 8);
  }

  SUBCASE("a streamed chat answer has all its events and its end") {
    const HttpReply reply = cluster.Call(cluster.m_entries[1], Chat("a", "reorder note", 8, true));
    REQUIRE_MESSAGE(reply.m_status == kOk, reply.m_body);
    CHECK(reply.m_body.find("\"completion_tokens\":8") != std::string::npos);
    CHECK(reply.m_body.ends_with("data: [DONE]\n\n"));
  }

  SUBCASE("the same key again gets the same answer and runs once") {
    const HttpReply first = cluster.Call(cluster.m_entries[0], Reservation("r-1"));
    REQUIRE_MESSAGE(first.m_status == kOk, first.m_body);
    const HttpReply second = cluster.Call(cluster.m_entries[2], Reservation("r-1"));
    CHECK(second.m_status == kOk);
    CHECK(second.m_body == first.m_body);
    CHECK(cluster.CountRuns(cluster.m_services, "reserve") == 1);
  }

  SUBCASE("a key that no contract has, an unknown kind and a malformed body run nothing") {
    CallerRequestSpec badKey = StockCheck("s-1");
    badKey.m_bearer = "nobody";
    CallerRequestSpec badKind = StockCheck("s-2");
    badKind.m_kind = "nothing";
    CallerRequestSpec badBody = Chat("s-3", "text", 4, false);
    badBody.m_body = "{";
    for (const CallerRequestSpec& spec : {badKey, badKind, badBody}) {
      const HttpReply reply = cluster.Call(cluster.m_entries[0], spec);
      CHECK(reply.m_status >= 400);
      CHECK(reply.m_contentType == "application/problem+json");
      CHECK(TextField(reply.m_body, "ran") == "no");
    }
    CHECK(cluster.Runs(cluster.m_services[0]).empty());
    CHECK(cluster.Runs(cluster.m_engines[0]).empty());
    CHECK(cluster.Runs(cluster.m_engines[1]).empty());
  }
}

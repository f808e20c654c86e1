#include "Tests/Process/TestCluster.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fennelline;

namespace {

constexpr int kOk = 200;
constexpr int kLongAnswer = 400;

/// Whether a stream of an engine has begun to run.
bool HasRun(TestCluster& aCluster) {
  for (const ClusterMember& engine : aCluster.m_engines) {
    if (!aCluster.Runs(engine).empty()) {
      return true;
    }
  }
  return false;
}

/// The words of a streamed answer, in order.
std::string TextOf(const std::string& aBody) {
  std::string text;
  std::istringstream lines(aBody);
  std::string line;
  while (std::getline(lines, line)) {
    constexpr std::size_t kPrefixLength = 6;
    const nlohmann::json data =
      line.starts_with("data: ") ? nlohmann::json::parse(line.substr(kPrefixLength), nullptr, false)
                                 : nlohmann::json();
    if (data.is_object() && data.contains("choices")) {
      text += data["choices"][0]["delta"].value("content", std::string());
    }
  }
  return text;
}

std::size_t WordsIn(const std::string& aText) {
  std::istringstream words(aText);
  std::string word;
  std::size_t count = 0;
  while (words >> word) {
    ++count;
  }
  return count;
}

void CheckWholeStream(const HttpReply& aReply) {
  REQUIRE_MESSAGE(aReply.m_status == kOk, aReply.m_body);
  CHECK(aReply.m_body.ends_with("data: [DONE]\n\n"));
  const std::size_t at = aReply.m_body.find("\"completion_tokens\":");
  REQUIRE(at != std::string::npos);
  const std::size_t tokens = std::stoul(aReply.m_body.substr(aReply.m_body.find(':', at) + 1));
  CHECK(WordsIn(TextOf(aReply.m_body)) == tokens);
}

} // namespace

TEST_CASE("A stream whose connection is cut goes on where it was") {
  TestCluster cluster({.m_relayBackends = true});
  std::future<HttpReply> call =
    cluster.CallLater(cluster.m_entries[0], Chat("a", "a long note", kLongAnswer, true));
  REQUIRE(WaitUntil(Seconds(10), [&] { return HasRun(cluster); }));
  for (const ClusterMember& engine : cluster.m_engines) {
    cluster.Control(engine.m_relayControl, {{"cut_open", true}});
  }
  CheckWholeStream(call.get());
}

TEST_CASE("A stream whose connection goes silent is resumed on a new one") {
  TestCluster cluster({.m_relayBackends = true});
  std::future<HttpReply> call =
    cluster.CallLater(cluster.m_entries[0], Chat("a", "a long note", kLongAnswer, true));
  REQUIRE(WaitUntil(Seconds(10), [&] { return HasRun(cluster); }));
  for (const ClusterMember& engine : cluster.m_engines) {
    cluster.Control(engine.m_relayControl, {{"silence_open", true}});
  }
  CheckWholeStream(call.get());
}

TEST_CASE("Connections that go silent are replaced, and their backend server goes on serving") {
  TestCluster cluster({.m_engines = 1, .m_relayBackends = true});
  const HttpReply before = cluster.Call(cluster.m_entries[0], StockCheck("s-0"));
  REQUIRE_MESSAGE(before.m_status == kOk, before.m_body);
  cluster.Control(cluster.m_services[0].m_relayControl, {{"silence_open", true}});
  int number = 0;
  const bool served = WaitUntil(Seconds(10), [&] {
    ++number;
    return cluster.Call(cluster.m_entries[0], StockCheck("s-" + std::to_string(number))).m_status ==
           kOk;
  });
  CHECK(served);
}

TEST_CASE("A reservation on a connection that is cut is not run a second time") {
  TestCluster cluster({.m_relayBackends = true, .m_serviceFlags = {"--work_ms", "1000"}});
  std::future<HttpReply> call = cluster.CallLater(cluster.m_entries[0], Reservation("r-1"));
  REQUIRE(
    WaitUntil(Seconds(10), [&] { return cluster.CountRuns(cluster.m_services, "reserve") == 1; }));
  cluster.Control(cluster.m_services[0].m_relayControl, {{"cut_open", true}});
  const HttpReply first = call.get();
  CHECK(first.m_status != kOk);
  CHECK(TextField(first.m_body, "ran") == "unknown");
  const HttpReply again = cluster.Call(cluster.m_entries[1], Reservation("r-1"));
  CHECK(TextField(again.m_body, "ran") == "unknown");
  CHECK(cluster.CountRuns(cluster.m_services, "reserve") == 1);
}

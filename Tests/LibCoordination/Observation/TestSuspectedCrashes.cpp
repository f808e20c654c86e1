#include "LibCoordination/Observation/SuspectedCrashes.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

struct Suspicion {
  std::string m_fingerprint;
  BackendServerId m_server;
  Time m_at{};
};

std::vector<std::string> Names(const std::vector<Suspicion>& aItems) {
  std::vector<std::string> names;
  for (const Suspicion& item : aItems) {
    names.push_back(item.m_fingerprint);
  }
  return names;
}

} // namespace

TEST_CASE("a crash confirms the recent suspicions of its server, once") {
  SuspectedCrashes<Suspicion> suspects(Seconds(2));
  suspects.Add({"old", "s1", Time{}});
  suspects.Add({"a", "s1", Time{} + Seconds(2)});
  suspects.Add({"b", "s2", Time{} + Seconds(2)});
  suspects.Add({"c", "s1", Time{} + Seconds(3)});
  CHECK(Names(suspects.Confirm("s1", Time{} + Seconds(4))) == std::vector<std::string>{"a", "c"});
  CHECK(suspects.Confirm("s1", Time{} + Seconds(4)).empty());
  CHECK(!suspects.IsEmpty());
  suspects.Expire(Time{} + Seconds(5));
  CHECK(suspects.IsEmpty());
}

TEST_CASE("a server that lives and a request that completes refute suspicions") {
  SuspectedCrashes<Suspicion> suspects(Seconds(2));
  suspects.Add({"a", "s1", Time{}});
  suspects.Add({"a", "s2", Time{}});
  suspects.Add({"b", "s2", Time{}});
  suspects.RefuteServer("s1");
  suspects.RefuteRequest("a");
  CHECK(suspects.Confirm("s1", Time{}).empty());
  CHECK(Names(suspects.Confirm("s2", Time{})) == std::vector<std::string>{"b"});
}

TEST_CASE("the number of suspicions is bounded, and the oldest are dropped first") {
  constexpr int kMany = 10'000;
  SuspectedCrashes<Suspicion> suspects(Seconds(2));
  for (int request = 0; request < kMany; ++request) {
    suspects.Add({std::to_string(request), "s1", Time{}});
  }
  const std::vector<Suspicion> kept = suspects.Confirm("s1", Time{});
  CHECK(kept.size() < kMany);
  CHECK(kept.back().m_fingerprint == std::to_string(kMany - 1));
}

#include "LibRouting/LoadEstimate.h"
#include "LibRouting/LongPromptServers.h"
#include "LibRouting/Placement.h"
#include "LibRouting/PrefillLoad.h"

#include <doctest/doctest.h>
#include <map>
#include <vector>

using namespace fennelline;

namespace {

std::vector<PlacementCandidate> Servers(std::size_t aCount) {
  std::vector<PlacementCandidate> servers(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    servers[index].m_identity = Random(index + 1).Next();
    servers[index].m_slots = 64.0;
  }
  return servers;
}

PlacementQuery LongPrompt(std::uint64_t aPrefix) {
  return {.m_prefix = aPrefix,
          .m_prefixTokens = 5000,
          .m_promptMs = 200.0,
          .m_prefixMs = 80.0,
          .m_objectiveMs = 3000.0};
}

} // namespace

TEST_CASE("entries choose the same server for a prefix without coordination") {
  const std::vector<PlacementCandidate> servers = Servers(9);
  for (std::uint64_t prefix = 1; prefix < 40; ++prefix) {
    Random one(prefix);
    Random other(prefix + 1000);
    const std::optional<std::size_t> choice = ChoosePlacement(LongPrompt(prefix), servers, one);
    CHECK(choice == ChoosePlacement(LongPrompt(prefix), servers, other));
  }
}

TEST_CASE(
  "a server that limits requests is spared, also by the sessions and prefixes that it holds") {
  std::vector<PlacementCandidate> servers = Servers(3);
  servers[1].m_isLimited = true;
  servers[1].m_holdsPrefix = true;
  servers[0].m_load = servers[2].m_load = 50.0;
  for (std::uint64_t prefix = 1; prefix < 40; ++prefix) {
    Random random(prefix);
    CHECK(ChoosePlacement(LongPrompt(prefix), servers, random) != 1U);
  }
  servers[0].m_isAvoided = servers[2].m_isAvoided = true;
  Random random(1);
  CHECK(ChoosePlacement(LongPrompt(1), servers, random) == 1U);
}

TEST_CASE(
  "a server that needs a permit is neither rushed to when it is empty nor spared for ever") {
  // An empty server beside equally loaded ones: all entries would choose it at once.
  std::vector<PlacementCandidate> servers = Servers(3);
  servers[1].m_needsPermit = true;
  servers[0].m_load = servers[2].m_load = 4.0;
  const PlacementQuery query{.m_objectiveMs = 1000.0};
  for (std::uint64_t seed = 1; seed < 40; ++seed) {
    Random random(seed);
    CHECK(ChoosePlacement(query, servers, random) != 1U);
  }
  // Unlike a server that names a limit, it is used before the others are busy.
  servers[0].m_load = servers[2].m_load = 20.0;
  for (std::uint64_t seed = 1; seed < 40; ++seed) {
    Random random(seed);
    CHECK(ChoosePlacement(query, servers, random) == 1U);
  }
}

TEST_CASE("prefixes are spread over the servers") {
  const std::vector<PlacementCandidate> servers = Servers(9);
  std::map<std::size_t, int> counts;
  Random random(1);
  for (std::uint64_t prefix = 1; prefix <= 900; ++prefix) {
    ++counts[*ChoosePlacement(LongPrompt(prefix), servers, random)];
  }
  for (const auto& [server, count] : counts) {
    CHECK(count > 50);
    CHECK(count < 170);
  }
}

TEST_CASE("a server whose backlog endangers the objective is not chosen for its prefix") {
  std::vector<PlacementCandidate> servers = Servers(3);
  Random random(1);
  const std::size_t preferred = *ChoosePlacement(LongPrompt(5), servers, random);
  servers[preferred].m_prefillMs = 2500.0;
  CHECK(*ChoosePlacement(LongPrompt(5), servers, random) != preferred);
}

TEST_CASE(
  "a local server is chosen for a small request, one with the cached prefix for a long one") {
  std::vector<PlacementCandidate> servers = Servers(2);
  servers[0].m_isNear = false;
  servers[0].m_holdsPrefix = true;
  Random random(1);
  PlacementQuery small = {.m_bytes = 2000.0};
  CHECK(*ChoosePlacement(small, servers, random) == 1);
  PlacementQuery large = LongPrompt(5);
  large.m_bytes = 20000.0;
  servers[1].m_isAvoided = false;
  // Either server may be the preferred one; the one with the cached prefix is no worse.
  CHECK(*ChoosePlacement(large, servers, random) <= 1);
}

TEST_CASE("an avoided server is the last resort, and without candidates there is no choice") {
  std::vector<PlacementCandidate> servers = Servers(2);
  servers[0].m_isAvoided = true;
  servers[1].m_load = 500.0;
  Random random(1);
  CHECK(*ChoosePlacement({}, servers, random) == 1);
  servers[1].m_isAvoided = true;
  CHECK(ChoosePlacement({}, servers, random));
  CHECK(!ChoosePlacement({}, {}, random));
}

namespace {

/// Reserves the servers that ChooseLongPromptServers() chooses, all in one data centre.
void ReserveServers(std::vector<PlacementCandidate>& aServers) {
  std::vector<LongPromptCandidate> candidates;
  for (const PlacementCandidate& server : aServers) {
    candidates.push_back({.m_identity = server.m_identity});
  }
  const std::vector<bool> isReserved = ChooseLongPromptServers(candidates);
  for (std::size_t index = 0; index < aServers.size(); ++index) {
    aServers[index].m_isReserved = isReserved[index];
  }
}

PlacementQuery VeryLongPrompt(std::uint64_t aPrefix) {
  return {.m_prefix = aPrefix,
          .m_prefixTokens = 5000,
          .m_promptMs = 1600.0,
          .m_prefixMs = 270.0,
          .m_objectiveMs = 4000.0,
          .m_pauseObjectiveMs = 1500.0,
          .m_isLong = true};
}

PlacementQuery ShortPrompt(std::uint64_t aPrefix) {
  return {.m_prefix = aPrefix,
          .m_prefixTokens = 200,
          .m_promptMs = 40.0,
          .m_prefixMs = 10.0,
          .m_objectiveMs = 2000.0,
          .m_pauseObjectiveMs = 1500.0};
}

} // namespace

TEST_CASE("every entry reserves the same few servers in each data centre") {
  std::vector<LongPromptCandidate> servers;
  for (std::uint64_t index = 0; index < 24; ++index) {
    servers.push_back({.m_identity = Random(index + 1).Next(), .m_zone = index % 3});
  }
  const std::vector<bool> isReserved = ChooseLongPromptServers(servers);
  std::map<std::uint64_t, int> reservedByZone;
  for (std::size_t index = 0; index < servers.size(); ++index) {
    reservedByZone[servers[index].m_zone] += isReserved[index] ? 1 : 0;
  }
  CHECK(reservedByZone == std::map<std::uint64_t, int>{{0, 2}, {1, 2}, {2, 2}});
  // Another entry lists the servers in another order.
  const std::vector<LongPromptCandidate> reversed(servers.rbegin(), servers.rend());
  const std::vector<bool> other = ChooseLongPromptServers(reversed);
  CHECK(std::vector<bool>(other.rbegin(), other.rend()) == isReserved);
}

TEST_CASE("of three servers, as in a canary, none is reserved") {
  CHECK(ChooseLongPromptServers(std::vector<LongPromptCandidate>(3)) ==
        std::vector<bool>(3, false));
  CHECK(ChooseLongPromptServers({}).empty());
}

TEST_CASE("short prompts avoid reserved servers while the other servers have a small backlog") {
  std::vector<PlacementCandidate> servers = Servers(8);
  ReserveServers(servers);
  Random random(1);
  for (std::uint64_t prefix = 1; prefix < 50; ++prefix) {
    CHECK(servers[*ChoosePlacement(VeryLongPrompt(prefix), servers, random)].m_isReserved);
    CHECK(!servers[*ChoosePlacement(ShortPrompt(prefix), servers, random)].m_isReserved);
  }
  // If the backlog of the other servers exceeds the delay of a long prompt, reserved ones are used.
  for (PlacementCandidate& server : servers) {
    server.m_prefillMs = server.m_isReserved ? 0.0 : 500.0;
    server.m_continuousPrefillMs = server.m_prefillMs;
  }
  CHECK(servers[*ChoosePlacement(ShortPrompt(7), servers, random)].m_isReserved);
}

TEST_CASE("a long prompt avoids a server that is serving another one") {
  std::vector<PlacementCandidate> servers = Servers(8);
  ReserveServers(servers);
  Random random(1);
  const std::size_t preferred = *ChoosePlacement(VeryLongPrompt(3), servers, random);
  servers[preferred].m_isServingLongPrompt = true;
  const std::size_t other = *ChoosePlacement(VeryLongPrompt(3), servers, random);
  CHECK(other != preferred);
  CHECK(servers[other].m_isReserved);
}

TEST_CASE("prompts are not queued back to back if that delays other answers on the server") {
  std::vector<PlacementCandidate> servers = Servers(3);
  Random random(1);
  PlacementQuery prompt = LongPrompt(5);
  prompt.m_promptMs = 500.0;
  prompt.m_pauseObjectiveMs = 1500.0;
  const std::size_t preferred = *ChoosePlacement(prompt, servers, random);
  // Its backlog is almost empty, but it has been in prefill for long without interruption.
  servers[preferred].m_prefillMs = 50.0;
  servers[preferred].m_continuousPrefillMs = 1200.0;
  CHECK(*ChoosePlacement(prompt, servers, random) != preferred);
  prompt.m_pauseObjectiveMs = 0.0;
  CHECK(*ChoosePlacement(prompt, servers, random) == preferred);
}

TEST_CASE("stream events are late if one prefill chunk per token of an event exceeds the pause "
          "objective") {
  CHECK(DelaysStreamEvents(8, Milliseconds(220), Milliseconds(1500)));
  CHECK(!DelaysStreamEvents(5, Milliseconds(200), Milliseconds(1500)));
  CHECK(!DelaysStreamEvents(8, Milliseconds(20), Milliseconds(1500)));
  CHECK(!DelaysStreamEvents(8, Milliseconds(220), Duration(0)));
}

TEST_CASE("overlapping prompts count as one uninterrupted prefill until the backlog is empty") {
  PrefillLoad load;
  const Time start{Seconds(100)};
  load.Add(Milliseconds(400), start);
  load.Add(Milliseconds(400), start + Milliseconds(300));
  CHECK(load.Left(start + Milliseconds(300)) == Milliseconds(500));
  CHECK(load.ContinuousTime(start + Milliseconds(300)) == Milliseconds(800));
  CHECK(!load.IsServingLongPrompt(start + Milliseconds(300)));
  const Time later = start + Milliseconds(900);
  CHECK(load.ContinuousTime(later) == Duration(0));
  load.Add(Milliseconds(1200), later);
  CHECK(load.ContinuousTime(later) == Milliseconds(1200));
  CHECK(load.IsServingLongPrompt(later + Milliseconds(2000)));
  CHECK(!load.IsServingLongPrompt(later + Seconds(10)));
}

namespace {

/// Result of a simulation.
struct SimulationResult {
  int m_shortAnswers = 0;
  int m_late = 0;
};

/// Simulates prompts of which one in two hundred takes 1.6 seconds to prefill, among short answers
/// that take two seconds each. An answer is late if its server runs prefill without interruption
/// for longer than the maximum pause meanwhile.
SimulationResult SimulateLongAmongShort(bool aReservesServers) {
  constexpr std::size_t kServers = 16;
  constexpr Duration kAnswerTime = Seconds(2);
  constexpr Duration kPause = Milliseconds(1500);
  std::vector<PlacementCandidate> servers = Servers(kServers);
  if (aReservesServers) {
    ReserveServers(servers);
  }
  std::vector<PrefillLoad> loads(kServers);
  struct Answer {
    std::size_t m_server;
    Time m_until;
    bool m_isLate = false;
  };
  std::vector<Answer> answers;
  Random random(9);
  SimulationResult result;
  Time now{Seconds(10)};
  for (int request = 0; request < 4000; ++request) {
    now += Milliseconds(10);
    for (std::size_t index = 0; index < kServers; ++index) {
      servers[index].m_prefillMs = InSeconds(loads[index].Left(now)) * 1000.0;
      servers[index].m_continuousPrefillMs = InSeconds(loads[index].ContinuousTime(now)) * 1000.0;
      servers[index].m_isServingLongPrompt =
        aReservesServers && loads[index].IsServingLongPrompt(now);
    }
    const bool isLong = random.Uniform() < 0.005;
    PlacementQuery query = isLong ? VeryLongPrompt(0) : ShortPrompt(0);
    if (!aReservesServers) {
      query.m_isLong = false;
      query.m_pauseObjectiveMs = 0.0;
    }
    const std::size_t chosen = *ChoosePlacement(query, servers, random);
    loads[chosen].Add(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(query.m_promptMs / 1000)),
      now);
    std::erase_if(answers, [now](const Answer& aAnswer) { return aAnswer.m_until < now; });
    for (Answer& answer : answers) {
      const bool isLate = answer.m_server == chosen && loads[chosen].ContinuousTime(now) > kPause;
      result.m_late += isLate && !answer.m_isLate ? 1 : 0;
      answer.m_isLate = answer.m_isLate || isLate;
    }
    if (!isLong) {
      ++result.m_shortAnswers;
      const bool isLate = loads[chosen].ContinuousTime(now) > kPause;
      result.m_late += isLate ? 1 : 0;
      answers.push_back({.m_server = chosen, .m_until = now + kAnswerTime, .m_isLate = isLate});
    }
  }
  return result;
}

} // namespace

TEST_CASE("with reserved servers, long prompts make few short answers late") {
  const SimulationResult mixed = SimulateLongAmongShort(false);
  const SimulationResult apart = SimulateLongAmongShort(true);
  REQUIRE(mixed.m_shortAnswers > 3000);
  CHECK(mixed.m_late > mixed.m_shortAnswers / 20);
  CHECK(apart.m_late < mixed.m_late / 3);
}

TEST_CASE(
  "a single request of one entry among many changes a server's estimated load only moderately") {
  // 66 entries with 0.06 requests each on a typical server, as in a deployment of that size.
  const double usual = 66 * 0.06;
  CHECK(EstimateLoad(0, 0.06, 66) < usual);
  CHECK(EstimateLoad(0, 0.06, 66) > usual / 2);
  CHECK(EstimateLoad(1, 0.06, 66) > usual);
  CHECK(EstimateLoad(1, 0.06, 66) < usual * 2);
  // A single entry knows the whole load.
  CHECK(EstimateLoad(40, 10.0, 1) > 30.0);
  CHECK(EstimateLoad(0, 0.0, 66) < 4.0);
}

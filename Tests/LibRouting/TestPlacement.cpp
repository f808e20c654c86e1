#include "LibRouting/Placement.h"

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

TEST_CASE("entries that know nothing of each other choose the same server for a prefix") {
  const std::vector<PlacementCandidate> servers = Servers(9);
  for (std::uint64_t prefix = 1; prefix < 40; ++prefix) {
    Random one(prefix);
    Random other(prefix + 1000);
    const std::optional<std::size_t> choice = ChoosePlacement(LongPrompt(prefix), servers, one);
    CHECK(choice == ChoosePlacement(LongPrompt(prefix), servers, other));
  }
}

TEST_CASE("prefixes spread over the servers") {
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

TEST_CASE("a server behind by more than the objective allows loses its prefix") {
  std::vector<PlacementCandidate> servers = Servers(3);
  Random random(1);
  const std::size_t home = *ChoosePlacement(LongPrompt(5), servers, random);
  servers[home].m_readingMs = 2500.0;
  CHECK(*ChoosePlacement(LongPrompt(5), servers, random) != home);
}

TEST_CASE("a near server is taken for a small request, a held prefix for a long one") {
  std::vector<PlacementCandidate> servers = Servers(2);
  servers[0].m_isNear = false;
  servers[0].m_holdsPrefix = true;
  Random random(1);
  PlacementQuery small = {.m_bytes = 2000.0};
  CHECK(*ChoosePlacement(small, servers, random) == 1);
  PlacementQuery large = LongPrompt(5);
  large.m_bytes = 20000.0;
  servers[1].m_isShunned = false;
  // Whichever of the two the prefix belongs to, the one that holds it is no worse.
  CHECK(*ChoosePlacement(large, servers, random) <= 1);
}

TEST_CASE("a shunned server is the last resort, and no server is no choice") {
  std::vector<PlacementCandidate> servers = Servers(2);
  servers[0].m_isShunned = true;
  servers[1].m_load = 500.0;
  Random random(1);
  CHECK(*ChoosePlacement({}, servers, random) == 1);
  servers[1].m_isShunned = true;
  CHECK(ChoosePlacement({}, servers, random));
  CHECK(!ChoosePlacement({}, {}, random));
}

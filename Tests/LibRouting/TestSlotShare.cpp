#include "LibBase/Random.h"
#include "LibRouting/SlotShare.h"

#include <doctest/doctest.h>
#include <vector>

using namespace fennelline;

TEST_CASE("the entries' shares of a server's slots add up to its slots") {
  Random random(1);
  for (const std::size_t count : {1U, 2U, 5U, 9U, 66U, 460U}) {
    std::vector<std::uint64_t> entries;
    for (std::size_t index = 0; index < count; ++index) {
      entries.push_back(random.Next());
    }
    for (const int slots : {1, 4, 6, 64, 1000}) {
      const std::uint64_t server = random.Next();
      int sum = 0;
      for (const std::uint64_t entry : entries) {
        const int share = ShareOfSlots(slots, server, entry, entries);
        CHECK(share >= slots / static_cast<int>(count));
        CHECK(share <= slots / static_cast<int>(count) + 1);
        sum += share;
      }
      CHECK(sum == slots);
    }
  }
}

TEST_CASE("servers with fewer slots than entries are shared among all entries") {
  Random random(2);
  std::vector<std::uint64_t> entries;
  std::vector<int> shares(9, 0);
  for (int index = 0; index < 9; ++index) {
    entries.push_back(random.Next());
  }
  for (int server = 0; server < 900; ++server) {
    const std::uint64_t identity = random.Next();
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
      shares[entry] += ShareOfSlots(2, identity, entries[entry], entries);
    }
  }
  for (const int share : shares) {
    CHECK(share > 150);
    CHECK(share < 250);
  }
}

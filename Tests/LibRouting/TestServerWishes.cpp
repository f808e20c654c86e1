#include "LibRouting/ServerWishes.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace fennelline;

TEST_CASE(
  "a server that has said that it leaves is remembered for as long as its entry may return") {
  ServerWishes wishes;
  const Time start = Time{} + Seconds(100);
  CHECK(wishes.OnLeaving(1, start));
  CHECK(!wishes.OnLeaving(1, start + Seconds(1)));
  CHECK(wishes.IsLeaving(1));
  CHECK(!wishes.IsLeaving(2));
  wishes.Expire(start + Seconds(300));
  CHECK(wishes.IsLeaving(1));
  wishes.Expire(start + Seconds(601));
  CHECK(!wishes.IsLeaving(1));
  CHECK(wishes.CountLeaving() == 0);
}

TEST_CASE("of several waits the one that ends last counts, and ended ones are forgotten") {
  ServerWishes wishes;
  const Time start = Time{} + Seconds(100);
  CHECK(wishes.LeftAloneUntil(1) == Time{});
  wishes.OnWait(1, start + Seconds(6));
  wishes.OnWait(1, start + Seconds(2));
  CHECK(wishes.LeftAloneUntil(1) == start + Seconds(6));
  wishes.Expire(start + Seconds(5));
  CHECK(wishes.LeftAloneUntil(1) == start + Seconds(6));
  wishes.Expire(start + Seconds(6));
  CHECK(wishes.LeftAloneUntil(1) == Time{});
}

TEST_CASE("entries that were told at once return after the wait, spread over a part of it") {
  const Time now = Time{} + Seconds(100);
  for (const Duration asked : {Milliseconds(100), Seconds(6), Seconds(600)}) {
    std::vector<Time> returns;
    for (std::uint64_t entry = 0; entry < 295; ++entry) {
      Random random(entry);
      returns.push_back(EndOfWait(asked, now, random));
    }
    const auto [first, last] = std::minmax_element(returns.begin(), returns.end());
    CHECK(*first >= now + asked);
    CHECK(*last <= now + asked + std::max<Duration>(asked / 4, Milliseconds(200)));
    CHECK(*last <= now + asked + Seconds(2));
    CHECK(*last - *first >= Milliseconds(180));
  }
}

TEST_CASE("a mistaken wait does not take a server out of use for good") {
  Random random(1);
  const Time now = Time{} + Seconds(100);
  CHECK(EndOfWait(std::chrono::hours(200'000), now, random) <=
        now + std::chrono::hours(24) + Seconds(2));
}

#include "LibRouting/MirrorSource.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("few entries poll the store, the others poll those, and any source serves as fallback") {
  MirrorSource source(1);
  Time now{Seconds(10)};
  source.SetPeers(false, {"near:1"}, {"far:1"});
  MirrorSource::Choice choice = *source.Choose(false, 9, now);
  CHECK(choice.m_peer == "near:1");
  source.OnFailure(choice, now);
  choice = *source.Choose(false, 9, now);
  CHECK(choice.m_peer == "far:1");
  source.OnFailure(choice, now);
  choice = *source.Choose(false, 9, now);
  CHECK(choice.m_isStore);
  source.OnFailure(choice, now);
  CHECK(!source.Choose(false, 9, now));
  now += Seconds(2);
  CHECK(source.Choose(false, 9, now)->m_peer == "near:1");
}

TEST_CASE("an entry whose store call failed polls peers and later returns to the store") {
  MirrorSource source(1);
  const Time now{Seconds(10)};
  source.SetPeers(true, {}, {"far:1"});
  MirrorSource::Choice choice = *source.Choose(false, 9, now);
  REQUIRE(choice.m_isStore);
  source.OnFailure(choice, now);
  CHECK(source.IsStoreFailing());
  CHECK(source.Choose(false, 9, now)->m_peer == "far:1");
  choice = *source.Choose(false, 9, now + Seconds(1));
  REQUIRE(choice.m_isStore);
  source.OnAnswer(choice, now);
  CHECK(!source.IsStoreFailing());
}

TEST_CASE("if the polling entries lose the store, the others reach it within 100 ms") {
  // The polling entries answer their peers, but without anything new.
  constexpr std::size_t kEntries = 66;
  const Time lost{Seconds(10)};
  Time first = kNever;
  int calls = 0;
  for (std::uint64_t seed = 1; seed <= kEntries; ++seed) {
    MirrorSource source(seed);
    source.SetPeers(false, {"near:1"}, {});
    for (Time now = lost; now < lost + Seconds(2); now += Milliseconds(5)) {
      const std::optional<MirrorSource::Choice> choice = source.Choose(true, kEntries, now);
      REQUIRE(choice);
      if (choice->m_isStore) {
        ++calls;
        first = std::min(first, now);
        source.OnFailure(*choice, now);
      }
    }
  }
  CHECK(first - lost < Milliseconds(100));
  // A two-second outage costs the fleet at most three store calls per entry.
  CHECK(calls <= 3 * static_cast<int>(kEntries));
}

TEST_CASE("an entry that falls back to the store uses it for a while, then returns to its peers") {
  MirrorSource source(1);
  Time now{Seconds(10)};
  source.SetPeers(false, {"near:1"}, {});
  std::optional<MirrorSource::Choice> choice = source.Choose(true, 1, now);
  now += Milliseconds(10);
  choice = source.Choose(true, 1, now);
  REQUIRE(choice->m_isStore);
  source.OnAnswer(*choice, now);
  CHECK(source.Choose(false, 1, now + Seconds(1))->m_isStore);
  CHECK(!source.Choose(false, 1, now + Seconds(4))->m_isStore);
}

TEST_CASE("peers that are asked after a silent one are asked to answer at once") {
  MirrorSource source(1);
  const Time now{Seconds(10)};
  source.SetPeers(false, {"near:1", "near:2"}, {});
  const MirrorSource::Choice first = *source.Choose(false, 9, now);
  CHECK(!first.m_isProbe);
  source.OnFailure(first, now);
  const MirrorSource::Choice second = *source.Choose(false, 9, now);
  CHECK(second.m_peer == "near:2");
  CHECK(second.m_isProbe);
  source.OnAnswer(second, now);
  CHECK(!source.Choose(false, 9, now)->m_isProbe);
  // The silent one is asked again after a while, but not waited for.
  const MirrorSource::Choice again = *source.Choose(false, 9, now + Seconds(2));
  CHECK(again.m_peer == "near:1");
  CHECK(again.m_isProbe);
}

TEST_CASE("watchers are silent since the last of them was found silent, until one answers") {
  MirrorSource source(1);
  const Time now{Seconds(10)};
  source.SetPeers(false, {"near:1", "near:2"}, {"far:1"});
  CHECK(!source.WatchersSilentSince());
  source.OnFailure({.m_peer = "near:1"}, now);
  CHECK(!source.WatchersSilentSince());
  source.OnFailure({.m_peer = "near:2"}, now + Milliseconds(500));
  CHECK(source.WatchersSilentSince() == now + Milliseconds(500));
  // Failing again does not count as a new silence.
  source.OnFailure({.m_peer = "near:1"}, now + Seconds(2));
  CHECK(source.WatchersSilentSince() == now + Milliseconds(500));
  source.OnAnswer({.m_peer = "near:2"}, now + Seconds(3));
  CHECK(!source.WatchersSilentSince());
  MirrorSource withoutWatchers(1);
  withoutWatchers.SetPeers(false, {}, {"far:1"});
  CHECK(!withoutWatchers.WatchersSilentSince());
}

TEST_CASE(
  "entries of a large fleet fall back to the store within the same time as those of a small one") {
  constexpr std::size_t kEntries = 460;
  const Time now{Seconds(10)};
  for (std::uint64_t seed = 1; seed <= kEntries; ++seed) {
    MirrorSource source(seed);
    source.SetPeers(false, {"near:1"}, {});
    CHECK(!source.FallbackAt());
    CHECK(!source.Choose(true, kEntries, now)->m_isStore);
    REQUIRE(source.FallbackAt());
    CHECK(*source.FallbackAt() <= now + Milliseconds(660));
    CHECK(source.Choose(true, kEntries, *source.FallbackAt())->m_isStore);
  }
}

/// Guards against all entries that replaced the failed watchers reading the store for seconds.
TEST_CASE("an entry that has replaced the watchers stops when another one reads the store") {
  const Time now{Seconds(10)};
  MirrorSource source(1);
  source.SetPeers(false, {"near:1"}, {"far:1"});
  REQUIRE(!source.Choose(true, 1, now)->m_isStore);
  const Time fallback = *source.FallbackAt();
  const std::optional<MirrorSource::Choice> choice = source.Choose(true, 1, fallback);
  REQUIRE(choice->m_isFallback);
  source.OnAnswer(*choice, fallback);
  CHECK(source.Choose(false, 1, fallback + Seconds(1))->m_isStore);
  source.EndFallback();
  CHECK(!source.Choose(false, 1, fallback + Seconds(1))->m_isStore);
  // It is an entry like the others again, should that one fail as well.
  CHECK(!source.Choose(true, 1, fallback + Seconds(3))->m_isStore);
  REQUIRE(source.FallbackAt());
  CHECK(source.Choose(true, 1, *source.FallbackAt())->m_isFallback);
}

#include "LibRouting/MirrorSource.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("few ask the store, the others ask those, and anyone is asked in need") {
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

TEST_CASE("an entry that the store turns away asks peers and comes back to the store") {
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

TEST_CASE("where those that should ask the store have lost it, the others find it within moments") {
  // The watchers answer their peers, but with nothing new.
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
  // Two seconds of an outage cost the fleet two calls an entry.
  CHECK(calls <= 3 * static_cast<int>(kEntries));
}

TEST_CASE("an entry that stands in goes on with the store for a while, then leaves it") {
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

#include "LibRouting/MirrorSource.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("few ask the store, the others ask those, and anyone is asked in need") {
  MirrorSource source(1);
  Time now{Seconds(10)};
  source.SetPeers(false, {"near:1"}, {"far:1"});
  MirrorSource::Choice choice = *source.Choose(now);
  CHECK(choice.m_peer == "near:1");
  source.OnFailure(choice, now);
  choice = *source.Choose(now);
  CHECK(choice.m_peer == "far:1");
  source.OnFailure(choice, now);
  choice = *source.Choose(now);
  CHECK(choice.m_isStore);
  source.OnFailure(choice, now);
  CHECK(!source.Choose(now));
  now += Seconds(2);
  CHECK(source.Choose(now)->m_peer == "near:1");
}

TEST_CASE("an entry that the store turns away asks peers and comes back to the store") {
  MirrorSource source(1);
  const Time now{Seconds(10)};
  source.SetPeers(true, {}, {"far:1"});
  MirrorSource::Choice choice = *source.Choose(now);
  REQUIRE(choice.m_isStore);
  source.OnFailure(choice, now);
  CHECK(source.IsStoreFailing());
  CHECK(source.Choose(now)->m_peer == "far:1");
  choice = *source.Choose(now + Seconds(1));
  REQUIRE(choice.m_isStore);
  source.OnAnswer(choice);
  CHECK(!source.IsStoreFailing());
}

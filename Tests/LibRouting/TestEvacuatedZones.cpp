#include "LibRouting/EvacuatedZones.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

const Time kStart = Time{} + Seconds(100);

} // namespace

// Guards against one zone's order acting on another, and a return that cannot be dated.
TEST_CASE("each zone is evacuated and comes back by itself") {
  EvacuatedZones zones;
  CHECK(!zones.IsEvacuated("north"));
  CHECK(zones.Set("north", 5, kStart));
  CHECK(zones.Set("south", 7, kStart + Seconds(1)));
  CHECK(zones.Names() == std::vector<std::string>{"north", "south"});
  CHECK(!zones.ReturnedAt("north"));
  CHECK(zones.Clear("north", 9, kStart + Seconds(8)));
  CHECK(!zones.IsEvacuated("north"));
  CHECK(zones.IsEvacuated("south"));
  CHECK(zones.Count() == 1);
  CHECK(zones.ReturnedAt("north") == kStart + Seconds(8));
  CHECK(!zones.ReturnedAt("east"));
  // Servers without a zone in their record are in none of them.
  CHECK(!zones.IsEvacuated(""));
}

// Guards against a delayed update of a peer that ends an evacuation, or begins one again.
TEST_CASE("orders of older revisions change nothing, whatever their sequence") {
  EvacuatedZones zones;
  CHECK(zones.Set("north", 5, kStart));
  CHECK(!zones.Clear("north", 4, kStart));
  CHECK(zones.IsEvacuated("north"));
  CHECK(zones.Clear("north", 6, kStart + Seconds(1)));
  CHECK(!zones.Set("north", 5, kStart + Seconds(2)));
  CHECK(!zones.IsEvacuated("north"));
  CHECK(zones.ReturnedAt("north") == kStart + Seconds(1));
  CHECK(zones.Set("north", 8, kStart + Seconds(3)));
  CHECK(zones.IsEvacuated("north"));
}

// Guards against a repeated order that counts as news: the zone would seem to return again.
TEST_CASE("an order that is repeated is no change") {
  EvacuatedZones zones;
  CHECK(zones.Set("north", 5, kStart));
  CHECK(!zones.Set("north", 5, kStart + Seconds(1)));
  CHECK(!zones.Set("north", 6, kStart + Seconds(2)));
  CHECK(zones.Clear("north", 7, kStart + Seconds(3)));
  CHECK(!zones.Clear("north", 9, kStart + Seconds(4)));
  CHECK(zones.ReturnedAt("north") == kStart + Seconds(3));
  CHECK(zones.Count() == 0);
}

// Guards against cold servers that get full load from an entry that missed the evacuation.
TEST_CASE("a zone whose order was removed before this entry heard of it has come back") {
  EvacuatedZones zones;
  CHECK(!zones.Clear("north", 7, kStart));
  CHECK(zones.ReturnedAt("north") == kStart);
  CHECK(!zones.Set("north", 6, kStart));
}

// Guards against orders that are ignored after a return of the store, which counts lower again.
TEST_CASE("in a new era of the store what is known stays in force and lower revisions count") {
  EvacuatedZones zones;
  CHECK(zones.Set("north", 50, kStart));
  CHECK(zones.Set("south", 51, kStart));
  zones.BeginEra();
  CHECK(zones.Count() == 2);
  CHECK(!zones.Set("north", 31, kStart + Seconds(1)));
  CHECK(zones.Clear("south", 33, kStart + Seconds(1)));
  CHECK(zones.Clear("north", 34, kStart + Seconds(2)));
  CHECK(zones.Names().empty());
}

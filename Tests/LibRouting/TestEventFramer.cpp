#include "LibRouting/EventFramer.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

std::string Event(int aId) {
  return "id: " + std::to_string(aId) + "\ndata: piece " + std::to_string(aId) + "\n\n";
}

} // namespace

TEST_CASE("events are returned complete and unchanged, however the bytes are split") {
  std::string stream;
  for (int id = 1; id <= 30; ++id) {
    stream += id % 3 == 0 ? "id:" + std::to_string(id) + "\r\ndata: x\r\n\r\n" : Event(id);
  }
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Random random(seed);
    EventFramer framer;
    std::string passed;
    std::size_t place = 0;
    while (place < stream.size()) {
      const std::size_t size = 1 + random.Below(25);
      passed += framer.Feed(std::string_view(stream).substr(place, size));
      place += size;
    }
    CHECK(passed == stream);
    CHECK(framer.LastEvent() == 30);
    CHECK(!framer.HasPartial());
  }
}

TEST_CASE("a partial event is dropped, and the next attempt resumes after the last complete one") {
  EventFramer framer;
  CHECK(framer.Feed(Event(1) + Event(2) + "id: 3\nda") == Event(1) + Event(2));
  CHECK(framer.HasPartial());
  framer.DropPartial();
  CHECK(framer.LastEvent() == 2);
  CHECK(framer.Feed(Event(2) + Event(3)) == Event(3));
}

TEST_CASE("a caller that resumes after an event gets no event twice") {
  EventFramer framer(12);
  CHECK(framer.Feed(Event(11) + Event(12) + Event(13)) == Event(13));
}

TEST_CASE("no event of an attempt is left out because of its id") {
  EventFramer framer;
  CHECK(framer.Feed(Event(1) + Event(4) + Event(4) + Event(3)) ==
        Event(1) + Event(4) + Event(4) + Event(3));
  framer.DropPartial();
  CHECK(framer.Feed(Event(2) + Event(3)).empty());
  CHECK(framer.Feed(Event(4) + Event(4) + Event(5)) == Event(4) + Event(4) + Event(5));
}

TEST_CASE("an event without an id is not passed on after one with an id") {
  for (const std::string foreign :
       {"event: error\ndata: x\n\n", ": comment\n\n", "text\n\nmore\n\n", "id: x\ndata: y\n\n"}) {
    CAPTURE(foreign);
    EventFramer framer;
    CHECK(framer.Feed(Event(1) + foreign + Event(2)) == Event(1));
    CHECK(framer.HasForeignEvent());
    framer.DropPartial();
    CHECK(!framer.HasForeignEvent());
    CHECK(framer.Feed(Event(2)) == Event(2));
    EventFramer resumed(12);
    CHECK(resumed.Feed(foreign).empty());
    CHECK(resumed.HasForeignEvent());
  }
}

TEST_CASE("events of a stream without ids are passed on") {
  EventFramer framer;
  CHECK(framer.Feed("data: a\n\ndata: b\n\n") == "data: a\n\ndata: b\n\n");
  CHECK(!framer.HasForeignEvent());
}

TEST_CASE("comments and empty lines before the first event do not begin a stream") {
  for (const char* nothing : {": ping\n\n", ":\n:\n\n", "\n\n", "\r\n\r\n", ":\r\n\r\n"}) {
    CAPTURE(nothing);
    EventFramer framer;
    CHECK(framer.Feed(nothing).empty());
    CHECK(framer.CountEvents() == 0);
    CHECK(framer.Feed(Event(1)) == Event(1));
  }
}

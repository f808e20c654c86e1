#include "LibRouting/EventFramer.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

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
  framer.BeginAttempt();
  CHECK(framer.LastEvent() == 2);
  CHECK(framer.Feed(Event(2) + Event(3)) == Event(3));
}

TEST_CASE("a caller that resumes after an event gets no event twice") {
  EventFramer framer({.m_after = 12});
  CHECK(framer.Feed(Event(11) + Event(12) + Event(13)) == Event(13));
}

TEST_CASE("an event that comes twice, too early or too late is neither passed on nor left out") {
  struct Case {
    std::string m_stream;
    std::string m_passed;
    EventFault m_fault;
  };
  const std::vector<Case> cases = {
    {Event(1) + Event(2) + Event(2) + Event(3), Event(1) + Event(2), EventFault::NotAbove},
    {Event(1) + Event(2) + Event(1), Event(1) + Event(2), EventFault::NotAbove},
    {Event(1) + Event(3) + Event(4), Event(1), EventFault::Gap},
    {Event(3) + Event(1) + Event(2), "", EventFault::NotAbove},
    {Event(3) + Event(3), "", EventFault::NotAbove},
    {Event(2) + Event(3) + Event(4), "", EventFault::Gap},
  };
  for (const Case& row : cases) {
    CAPTURE(row.m_stream);
    EventFramer framer;
    CHECK(framer.Feed(row.m_stream) == row.m_passed);
    CHECK(framer.Fault() == row.m_fault);
    CHECK(!framer.IsPlaceUnknown());
    const std::int64_t last = framer.LastEvent().value_or(0);
    framer.BeginAttempt();
    CHECK(!framer.Fault());
    CHECK(framer.Feed(Event(static_cast<int>(last) + 1)) == Event(static_cast<int>(last) + 1));
  }
}

TEST_CASE("a resumed stream goes on with the next event") {
  EventFramer framer;
  framer.Feed(Event(1) + Event(2));
  framer.BeginAttempt();
  CHECK(framer.Feed(Event(1) + Event(2)).empty());
  CHECK(framer.Feed(Event(3)) == Event(3));
  framer.BeginAttempt();
  CHECK(framer.Feed(Event(5)).empty());
  CHECK(framer.Fault() == EventFault::Gap);
  framer.BeginAttempt();
  CHECK(framer.Feed(Event(2) + Event(2)).empty());
  CHECK(framer.Fault() == EventFault::NotAbove);
}

TEST_CASE("an event that comes again with other bytes leaves open which of the two is spoilt") {
  EventFramer framer;
  CHECK(framer.Feed(Event(1) + "id: 2\ndata: noise\n\n" + Event(2)) ==
        Event(1) + "id: 2\ndata: noise\n\n");
  CHECK(framer.IsPlaceUnknown());
}

TEST_CASE("a resumed attempt that ends before the last event of the caller is not whole") {
  EventFramer framer;
  framer.Feed(Event(1) + Event(2) + Event(3));
  framer.BeginAttempt();
  framer.Feed(Event(1) + Event(2));
  CHECK(framer.HasPartial());
  framer.Feed(Event(3));
  CHECK(!framer.HasPartial());
}

TEST_CASE("a server that does not resume a stream may begin it anew") {
  for (const int first : {1, 13}) {
    EventFramer framer({.m_otherStart = 12});
    CHECK(framer.Feed(Event(first)) == Event(first));
    CHECK(!framer.HasPartial());
  }
}

TEST_CASE("a first event with another number waits for one that follows on it") {
  EventFramer framer;
  CHECK(framer.Feed(Event(6)).empty());
  CHECK(framer.HasPartial());
  CHECK(framer.Feed(Event(12) + Event(18)) == Event(6) + Event(12) + Event(18));
  CHECK(framer.CountEvents() == 3);
  CHECK(!framer.HasPartial());
  framer.BeginAttempt();
  CHECK(framer.Feed(Event(24) + Event(30)) == Event(24) + Event(30));
  CHECK(framer.Feed(Event(25)).empty());
  // One of the last two is spoilt, and which one is not known.
  CHECK(framer.IsPlaceUnknown());
}

TEST_CASE("the largest number is held back like any other") {
  const std::string largest = "id: 9223372036854775807\ndata: x\n\n";
  EventFramer framer;
  CHECK(framer.Feed(largest).empty());
  CHECK(framer.Feed(largest).empty());
  CHECK(framer.Fault() == EventFault::NotAbove);
}

TEST_CASE("bytes that are no event end the attempt, wherever they stand") {
  for (const std::string& foreign : std::vector<std::string>{
         "event: error\ndata: x\n\n", "text\n\nmore\n\n", "id: x\ndata: y\n\n", "data: a\n\n",
         "noise\n" + Event(2), "data: noise\n" + Event(2)}) {
    CAPTURE(foreign);
    EventFramer framer;
    CHECK(framer.Feed(foreign + Event(1)).empty());
    CHECK(framer.Fault());
    framer.BeginAttempt();
    CHECK(framer.Feed(Event(1) + foreign + Event(2)) == Event(1));
    CHECK(framer.Fault());
    framer.BeginAttempt();
    CHECK(!framer.Fault());
    CHECK(framer.Feed(Event(2)) == Event(2));
    EventFramer resumed({.m_after = 12});
    CHECK(resumed.Feed(foreign).empty());
    CHECK(resumed.Fault());
  }
}

TEST_CASE("comments and empty lines after an event end the attempt") {
  for (const std::string nothing : {": comment\n\n", "\n", "\r\n"}) {
    CAPTURE(nothing);
    EventFramer framer;
    CHECK(framer.Feed(Event(1) + nothing + Event(2)) == Event(1));
    CHECK(framer.Fault());
    EventFramer resumed({.m_after = 12});
    CHECK(resumed.Feed(nothing).empty());
    CHECK(resumed.Fault());
  }
}

TEST_CASE("the field before an event's number is passed on with it") {
  const std::string event = "weights: 2\n" + Event(2);
  EventFramer framer({.m_leadingField = "weights"});
  CHECK(framer.Feed(Event(1) + event) == Event(1) + event);
}

TEST_CASE("bytes without end are given up") {
  for (const std::string more : {"\n", ":\n\n", ": comment\n\n", "id: 1\n", "x"}) {
    CAPTURE(more);
    std::string part;
    while (part.size() < 32UL * 1024) {
      part += more;
    }
    EventFramer framer;
    int parts = 0;
    for (; !framer.Fault() && parts < 100; ++parts) {
      CHECK(framer.Feed(part).empty());
    }
    CHECK(framer.Fault());
    CHECK(parts <= 9);
  }
}

TEST_CASE("events that their server does not number are only kept whole") {
  EventFramer framer({.m_isNumbered = false});
  CHECK(framer.Feed("data: a\n\ndata: b\n\ntext\n\nda") == "data: a\n\ndata: b\n\ntext\n\n");
  CHECK(!framer.Fault());
  CHECK(framer.HasPartial());
  CHECK(framer.IsPlaceUnknown());
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

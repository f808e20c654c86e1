#include "LibPlatform/EventStreamParser.h"

#include <doctest/doctest.h>
#include <string>

using namespace fennelline;

TEST_CASE("Events are parsed however their bytes are split") {
  const std::string text = ": waiting\n\nid: 7\ndata: {\"a\":1}\n\nid: 8\r\ndata: [DONE]\r\n\r\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    EventStreamParser parser;
    std::vector<StreamEvent> events;
    for (std::size_t start = 0; start < text.size(); start += piece) {
      const std::size_t count = std::min(piece, text.size() - start);
      for (StreamEvent& event : parser.Feed(text.data() + start, count)) {
        events.push_back(std::move(event));
      }
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].m_number == 7);
    CHECK(events[0].m_data == "{\"a\":1}");
    CHECK(events[1].m_number == 8);
    CHECK(events[1].m_data == "[DONE]");
  }
}

TEST_CASE("An incomplete event is not returned") {
  EventStreamParser parser;
  const std::string text = "id: 1\ndata: half\n";
  CHECK(parser.Feed(text.data(), text.size()).empty());
}

TEST_CASE(
  "Bytes that are no event with a higher number are a fault, and nothing after them counts") {
  const std::string first = "id: 1\ndata: {}\n\n";
  const std::string next = "id: 2\ndata: {}\n\n";
  for (const std::string text :
       {"no answer\n\n", "data: {}\n\n", "id: x\ndata: {}\n\n", "id: -3\ndata: {}\n\n",
        "id: 2x\ndata: {}\n\n", "id: 1\ndata: {}\n\n", "id: 2\n\n", "event: error\ndata: {}\n\n"}) {
    CAPTURE(text);
    EventStreamParser parser;
    const std::string bytes = first + text + next;
    CHECK(parser.Feed(bytes.data(), bytes.size()).size() == 1);
    CHECK(parser.HasFault());
  }
}

TEST_CASE("A line or an event without end is a fault") {
  constexpr int kLines = 10'000;
  for (const std::string line : {"x", "data: x\n"}) {
    CAPTURE(line);
    std::string part;
    for (int count = 0; count < kLines; ++count) {
      part += line;
    }
    EventStreamParser parser;
    std::size_t events = 0;
    for (int parts = 0; !parser.HasFault() && parts < 100; ++parts) {
      events += parser.Feed(part.data(), part.size()).size();
    }
    CHECK(events == 0);
    CHECK(parser.HasFault());
  }
}

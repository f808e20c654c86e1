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

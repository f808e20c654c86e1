#include "LibRouting/NumberedEvent.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace fennelline;

namespace {

constexpr std::string_view kLeading = "weights";

std::optional<EventFault> FaultOf(std::string_view aText) {
  return NumberedEvent::Parse(aText, kLeading).m_fault;
}

} // namespace

TEST_CASE("an event as servers write it is sound, and its number is read") {
  for (const std::string text :
       {"id: 7\ndata: x\n\n", "id:7\r\ndata:x\r\n\r\n", "id: 007\ndata: a\ndata: b: c\n\n",
        "weights: 2\nid: 7\ndata: x\n\n", "id: 7\nevent: piece\nretry: 5\ndata\n\n"}) {
    CAPTURE(text);
    CHECK(!FaultOf(text));
    CHECK(NumberedEvent::Parse(text, kLeading).m_number == 7);
  }
}

TEST_CASE("bytes that are no event, or none with a number of its own, are found") {
  struct Case {
    std::string m_text;
    EventFault m_fault;
  };
  const std::vector<Case> cases = {
    {"no answer at all\n\n", EventFault::OddLine},
    {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", EventFault::OddLine},
    {": comment\nid: 1\ndata: x\n\n", EventFault::OddLine},
    {"noise\nid: 1\ndata: x\n\n", EventFault::OddLine},
    {"id: 1\nnoise\ndata: x\n\n", EventFault::OddLine},
    {"id: 1\ndata: x\nnoise\n\n", EventFault::OddLine},
    {"id: 1\ndata: x\rid: 2\n\n", EventFault::OddLine},
    {"id: 1\ndata: x\nweights: 2\n\n", EventFault::OddLine},
    {"weights: none\nid: 1\ndata: x\n\n", EventFault::OddLine},
    {"weights\nid: 1\ndata: x\n\n", EventFault::OddLine},
    {"data: x\n\n", EventFault::OddNumber},
    {"data: noise\nid: 1\ndata: x\n\n", EventFault::OddNumber},
    {"event: error\ndata: x\n\n", EventFault::OddNumber},
    {"\n", EventFault::OddNumber},
    {"id:\ndata: x\n\n", EventFault::OddNumber},
    {"id\ndata: x\n\n", EventFault::OddNumber},
    {"id: none\ndata: x\n\n", EventFault::OddNumber},
    {"id: -7\ndata: x\n\n", EventFault::OddNumber},
    {"id: -0\ndata: x\n\n", EventFault::OddNumber},
    {"id: 0\ndata: x\n\n", EventFault::OddNumber},
    {"id: +7\ndata: x\n\n", EventFault::OddNumber},
    {"id: 3GARBAGE\ndata: x\n\n", EventFault::OddNumber},
    {"id: 3 \ndata: x\n\n", EventFault::OddNumber},
    {"id: 9999999999999999999\ndata: x\n\n", EventFault::OddNumber},
    {"id: 3\nid:\ndata: x\n\n", EventFault::OddNumber},
    {"id: 3\ndata: x\nid: 3\n\n", EventFault::OddNumber},
    {"id: 3\n\n", EventFault::NoData},
    {"weights: 2\nid: 3\n\n", EventFault::NoData},
  };
  for (const Case& row : cases) {
    CAPTURE(row.m_text);
    CHECK(FaultOf(row.m_text) == row.m_fault);
  }
}

TEST_CASE("a leading field is known only by its name") {
  CHECK(NumberedEvent::Parse("weights: 2\nid: 1\ndata: x\n\n", {}).m_fault == EventFault::OddLine);
}

TEST_CASE("comments and empty lines hold nothing") {
  for (const std::string text : {"\n", "\r\n", ": ping\n\n", ":\n:\r\n\n", ""}) {
    CAPTURE(text);
    CHECK(NumberedEvent::HoldsNothing(text));
  }
  for (const std::string text : {"data\n\n", " \n\n", ":\nnoise\n\n"}) {
    CAPTURE(text);
    CHECK(!NumberedEvent::HoldsNothing(text));
  }
}

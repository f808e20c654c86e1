#include "Services/Entry/EventJson.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

template<std::size_t Index = 0>
void CheckEachEvent() {
  if constexpr (Index < std::variant_size_v<Event>) {
    const Event event{std::in_place_index<Index>};
    const Result<Event> read = ParseEvent(WriteEvent(event));
    REQUIRE(read);
    CHECK(read.Get().index() == Index);
    CHECK(WriteEvent(read.Get()) == WriteEvent(event));
    CheckEachEvent<Index + 1>();
  }
}

template<std::size_t Index = 0>
void CheckEachMessage() {
  if constexpr (Index < std::variant_size_v<Message>) {
    const Event event = MessageReceived{"e1#1", Message{std::in_place_index<Index>}};
    const Result<Event> read = ParseEvent(WriteEvent(event));
    REQUIRE(read);
    CHECK(std::get<MessageReceived>(read.Get()).m_message.index() == Index);
    CHECK(WriteEvent(read.Get()) == WriteEvent(event));
    CheckEachMessage<Index + 1>();
  }
}

} // namespace

TEST_CASE("each event type and each message type round-trips") {
  CheckEachEvent();
  CheckEachMessage();
}

TEST_CASE("the fields of an event round-trip") {
  CallerRequest request;
  request.m_caller = 1ULL << 63U;
  request.m_target = CallerRequest::Target::Service;
  request.m_body = "{\"shade\": \"ro\u00e9\"}";
  request.m_deadlineMs = 300;
  const Result<Event> read = ParseEvent(WriteEvent(request));
  REQUIRE(read);
  const CallerRequest& copy = std::get<CallerRequest>(read.Get());
  CHECK(copy.m_caller == request.m_caller);
  CHECK(copy.m_target == CallerRequest::Target::Service);
  CHECK(copy.m_body == request.m_body);
  CHECK(copy.m_deadlineMs == 300);
}

TEST_CASE("nested lists, replies and messages round-trip") {
  PlatformReply reply;
  reply.m_call = {Component::Spend, 7};
  reply.m_status = PlatformStatus::Conflict;
  reply.m_keys = {{"a/b", "text", 12}};
  const Result<Event> read = ParseEvent(WriteEvent(reply));
  REQUIRE(read);
  const PlatformReply& copy = std::get<PlatformReply>(read.Get());
  CHECK(copy.m_call == CallId{Component::Spend, 7});
  CHECK(copy.m_status == PlatformStatus::Conflict);
  CHECK(copy.m_keys.at(0).m_value == "text");

  LoadPolled polled;
  polled.m_report.m_tokensPerSecond = 812.25;
  polled.m_report.m_versions = {"tagger@3"};
  const Result<Event> readPolled = ParseEvent(WriteEvent(polled));
  REQUIRE(readPolled);
  CHECK(std::get<LoadPolled>(readPolled.Get()).m_report.m_tokensPerSecond == 812.25);
}

TEST_CASE("text that is not an event is an error") {
  CHECK(ParseEvent("").IsError());
  CHECK(ParseEvent("{}").IsError());
  CHECK(ParseEvent("{\"kind\": \"other\"}").IsError());
  CHECK(ParseEvent("{\"kind\": \"caller_gone\"}").IsError());
  CHECK(ParseEvent("{\"kind\": \"caller_gone\", \"caller\": \"x\"}").IsError());
}

TEST_CASE("effects are serialized in order") {
  EntryEffects effects;
  effects.push_back(CallPlatform{{Component::Usage, 1}, PutKey{"k", "v", 3, 9}});
  effects.push_back(AnswerHead{.m_caller = 5, .m_headers = {{"a", "b"}}});
  effects.push_back(SendMessage{"e2#1", Heartbeat{.m_number = 4}});
  CHECK(
    WriteEffects(effects) ==
    R"([{"kind":"call_platform","call":{"part":2,"number":1},"put":"k","value":"v","expected":3,)"
    R"("lease":9},{"kind":"answer_head","caller":5,"status":200,"content_type":"",)"
    R"("headers":[["a","b"]],"stream":false},)"
    R"({"kind":"send_message","to":"e2#1","message":[0,[4,false]]}])");
}

TEST_CASE("the records for a replay round-trip") {
  MemberDigest addresses;
  addresses.m_entry = "e1#7";
  addresses.m_streamAddress = "127.0.0.1:5";
  const TimelineRecord start = MakeStartRecord("e1#7", addresses, 1ULL << 63U);
  const Result<ReducerStart> readStart = ReadStartRecord(start);
  REQUIRE(readStart);
  CHECK(readStart.Get().m_self == "e1#7");
  CHECK(readStart.Get().m_addresses == addresses);
  CHECK(readStart.Get().m_seed == 1ULL << 63U);

  const TimelineRecord step = MakeStepRecord(CallerGone{3}, {AnswerEnd{3}});
  const Result<ReducerStep> readStep = ReadStepRecord(step);
  REQUIRE(readStep);
  CHECK(std::get<CallerGone>(readStep.Get().m_event).m_caller == 3);
  CHECK(readStep.Get().m_effects == WriteEffects({AnswerEnd{3}}));
  CHECK(ReadStepRecord(start).IsError());
}

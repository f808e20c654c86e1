#include "LibTimeline/HybridClock.h"
#include "LibTimeline/TimelineMerge.h"
#include "LibTimeline/TimelineRecorder.h"
#include "LibTimeline/TimelineRender.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>
#include <map>

using namespace fennelline;

namespace {

const Time kStart{Seconds(1'800'000'000)};

TimelineRecord Named(const std::string& aName, const std::string& aRequest = "") {
  TimelineRecord record;
  record.m_name = aName;
  record.m_request = aRequest;
  return record;
}

std::vector<TimelineLine> Lines(const TimelineRecorder& aRecorder, std::uint64_t aAfter = 0) {
  return ParseTimelineLines(aRecorder.Since(aAfter)).Take();
}

} // namespace

TEST_CASE("a hybrid clock increases while the wall clock stands still or goes backwards") {
  HybridClock clock;
  const std::uint64_t first = clock.Now(kStart);
  const std::uint64_t second = clock.Now(kStart);
  const std::uint64_t third = clock.Now(kStart - Seconds(5));
  CHECK(first < second);
  CHECK(second < third);
  CHECK(HybridClock::TimeOf(clock.Now(kStart + Seconds(1))) == kStart + Seconds(1));
}

TEST_CASE("a hybrid clock advances past observed values, but ignores values far ahead") {
  HybridClock clock;
  const std::uint64_t remote = HybridClock::ValueOf(kStart + Seconds(10));
  CHECK(clock.Observe(remote, kStart));
  CHECK(clock.Now(kStart) == remote + 1);
  CHECK_FALSE(clock.Observe(HybridClock::ValueOf(kStart + Seconds(7'200)), kStart));
  CHECK(clock.Now(kStart) == remote + 2);
}

TEST_CASE("a line round-trips with all its fields, with invalid UTF-8 replaced") {
  TimelineLine line{"e1#7", 3, 99, kStart, Named("claim.granted", "key \"1\"\n")};
  line.m_record.m_session = "s1";
  line.m_record.m_version = "tagger@3";
  line.m_record.m_fields = {{"shard", "4"}, {"because", "two of three"}};
  const TimelineLine read = ParseTimelineLine(WriteTimelineLine(line)).Take();
  CHECK(read.m_process == "e1#7");
  CHECK(read.m_clock == 99);
  CHECK(read.m_at == kStart);
  CHECK(read.m_record.m_request == "key \"1\"\n");
  CHECK(read.m_record.m_fields == line.m_record.m_fields);
  line.m_record.m_request = "\xff";
  CHECK(ParseTimelineLine(WriteTimelineLine(line)));
  CHECK(ParseTimelineLines("{}\n").GetError().m_detail.starts_with("line 1: "));
}

TEST_CASE("the recorder numbers its records and returns those after a number") {
  TimelineRecorder recorder("e1#7");
  recorder.Record(Named("a"), kStart);
  recorder.Record(Named("b"), kStart);
  recorder.Record(Named("c"), kStart);
  const std::vector<TimelineLine> lines = Lines(recorder, 1);
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].m_number == 2);
  CHECK(lines[1].m_record.m_name == "c");
  CHECK(lines[0].m_clock < lines[1].m_clock);
  CHECK(recorder.Since(3).empty());
}

TEST_CASE("the recorder reports the number of dropped records") {
  TimelineRecorder recorder("e1#7", {.m_maxRecords = 3});
  for (int count = 0; count < 10; ++count) {
    recorder.Record(Named("a"), kStart);
  }
  CHECK(recorder.CountDropped() == 7);
  const std::vector<TimelineLine> lines = Lines(recorder, 2);
  REQUIRE(lines.size() == 4);
  CHECK(lines[0].m_record.m_name == kDroppedRecordsName);
  CHECK(FieldOf(lines[0].m_record, "records") == "5");
  CHECK(lines[1].m_number == 8);
  CHECK(Lines(recorder, 7).size() == 3);
}

TEST_CASE("the recorder enforces its limits on bytes and on lines per reply") {
  TimelineRecorder recorder("e1#7", {.m_maxBytes = 10'000, .m_maxLinesPerReply = 2});
  for (int count = 0; count < 100; ++count) {
    recorder.Record(Named(std::string(1'000, 'a')), kStart);
  }
  CHECK(recorder.CountDropped() > 85);
  CHECK(Lines(recorder, 99).size() == 1);
  CHECK(Lines(recorder, 97).size() == 2);
}

TEST_CASE("the merged order respects causality despite clock skew") {
  Random random(20'262);
  std::map<int, TimelineRecorder> recorders;
  std::map<int, Duration> skews;
  constexpr int kProcesses = 5;
  for (int process = 0; process < kProcesses; ++process) {
    recorders.try_emplace(process, "e" + std::to_string(process) + "#1");
    skews[process] = Milliseconds(static_cast<std::int64_t>(random.Below(60'000)) - 30'000);
  }
  // A chain of messages in which each step is caused by the previous one.
  int sender = 0;
  constexpr int kSteps = 400;
  for (int step = 0; step < kSteps; ++step) {
    const Time now = kStart + Milliseconds(step);
    recorders.at(sender).Record(Named("step", std::to_string(step)), now + skews[sender]);
    const std::uint64_t clock = recorders.at(sender).ReadClock(now + skews[sender]);
    const int receiver = static_cast<int>(random.Below(kProcesses));
    recorders.at(receiver).Observe(clock, now + skews[receiver]);
    sender = receiver;
  }
  std::vector<TimelineLine> lines;
  for (const auto& [process, recorder] : recorders) {
    const std::vector<TimelineLine> own = Lines(recorder);
    lines.insert(lines.end(), own.begin(), own.end());
    lines.insert(lines.end(), own.begin(), own.end());
  }
  const std::vector<TimelineLine> merged = MergeTimelines(lines);
  REQUIRE(merged.size() == kSteps);
  for (int step = 0; step < kSteps; ++step) {
    CHECK(merged[static_cast<std::size_t>(step)].m_record.m_request == std::to_string(step));
  }
}

TEST_CASE("filters match request, session, version, process and name") {
  TimelineLine line{"e1#7", 1, 1, kStart, Named("claim.granted", "k1")};
  line.m_record.m_session = "s1";
  line.m_record.m_version = "tagger@3";
  CHECK(MatchesFilter({}, line));
  CHECK(MatchesFilter({.m_request = "k1", .m_session = "s1", .m_version = "tagger@3"}, line));
  CHECK(MatchesFilter({.m_process = "e1", .m_name = "claim."}, line));
  CHECK(MatchesFilter({.m_process = "e1#7"}, line));
  CHECK_FALSE(MatchesFilter({.m_request = "k2"}, line));
  CHECK_FALSE(MatchesFilter({.m_session = "s2"}, line));
  CHECK_FALSE(MatchesFilter({.m_version = "tagger@4"}, line));
  CHECK_FALSE(MatchesFilter({.m_process = "e"}, line));
  CHECK_FALSE(MatchesFilter({.m_name = "session."}, line));
}

TEST_CASE("text and SVG output show each record, with XML escaped") {
  TimelineLine line{"e1#7", 1, 1, kStart + Duration(5), Named("claim.granted", "k<1>")};
  line.m_record.m_fields = {{"shard", "4"}};
  CHECK(RenderTimelineText({line}) ==
        "08:00:00.000005  e1#7  claim.granted  k<1>  -  -  shard=4\n");
  const std::string picture = RenderTimelineSvg({line, line});
  CHECK(picture.find("k&lt;1&gt;") != std::string::npos);
  CHECK(picture.find("k<1>") == std::string::npos);
  CHECK(picture.find("<polyline") != std::string::npos);
  CHECK(RenderTimelineSvg({}).starts_with("<svg"));
}

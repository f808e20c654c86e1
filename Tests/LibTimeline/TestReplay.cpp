#include "Utilities/Timeline/Replay.h"

#include "LibTimeline/TimelineRecorder.h"
#include "Services/Entry/EntryReducer.h"
#include "Services/Entry/EventJson.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

const Time kStart{Seconds(1'800'000'000)};

EntrySettings MakeSettings() {
  EntrySettings settings;
  settings.m_name = "e1";
  settings.m_dataCentre = "north";
  settings.m_sharedSecrets = {"a-secret-for-tests"};
  settings.m_sessionKeys = {"a-key-for-sessions"};
  return settings;
}

/// Runs a reducer on a few events, as the entry process does, and records each step.
std::vector<TimelineLine> RecordRun() {
  EntryStart start{.m_settings = MakeSettings(), .m_self = "e1#7", .m_addresses = {}, .m_seed = 5};
  start.m_addresses.m_entry = start.m_self;
  start.m_addresses.m_datagramAddress = "127.0.0.1:4000";
  TimelineRecorder recorder(start.m_self);
  recorder.Record(MakeStartRecord(start.m_self, start.m_addresses, start.m_seed), kStart);
  EntryReducer reducer(start);
  const std::vector<ListedVm> vms = {{"e1", "127.0.0.1:4000", "north", "entry", false},
                                     {"e2", "127.0.0.1:4001", "south", "entry", false}};
  std::vector<Event> events = {VmListRead{vms}};
  for (int count = 0; count < 300; ++count) {
    events.emplace_back(Tick{});
  }
  CallerRequest request;
  request.m_caller = 1;
  request.m_keyHash = "unknown";
  request.m_kind = "tag";
  events.emplace_back(request);
  Time now = kStart;
  for (const Event& event : events) {
    now += kTickInterval;
    const EntryEffects effects = reducer.Reduce(event, now);
    recorder.Record(MakeStepRecord(event, effects), now);
  }
  return ParseTimelineLines(recorder.Since(0)).Take();
}

} // namespace

TEST_CASE("the replay of a recorded run produces the same effects") {
  const Result<ReplayOutcome> outcome = ReplayTimeline(RecordRun(), MakeSettings());
  REQUIRE(outcome);
  CHECK(outcome.Get().m_steps == 302);
  CHECK_FALSE(outcome.Get().m_difference);
}

TEST_CASE("the replay of a run with different effects reports the first difference") {
  std::vector<TimelineLine> lines = RecordRun();
  std::string& effects = lines.back().m_record.m_fields.back().second;
  REQUIRE(effects.find("answer_head") != std::string::npos);
  effects.replace(effects.find("answer_head"), 11, "answer_tail");
  const Result<ReplayOutcome> outcome = ReplayTimeline(lines, MakeSettings());
  REQUIRE(outcome);
  REQUIRE(outcome.Get().m_difference);
  CHECK(outcome.Get().m_difference->m_number == lines.back().m_number);
}

TEST_CASE("an incomplete recording is rejected") {
  const std::vector<TimelineLine> lines = RecordRun();
  const std::vector<TimelineLine> withoutStart(lines.begin() + 1, lines.end());
  CHECK(ReplayTimeline(withoutStart, MakeSettings()).IsError());
  CHECK(ReplayTimeline({lines.front()}, MakeSettings()).IsError());
  std::vector<TimelineLine> withGap = lines;
  withGap[2].m_record = {};
  withGap[2].m_record.m_name = kDroppedRecordsName;
  CHECK(ReplayTimeline(withGap, MakeSettings()).IsError());
}

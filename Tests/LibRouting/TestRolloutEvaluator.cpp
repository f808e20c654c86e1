#include "LibRouting/RolloutEvaluator.h"
#include "LibRouting/VersionRule.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

const RolloutOrder kOrder = {.m_service = "pool",
                             .m_version = "v2",
                             .m_within = Seconds(24),
                             .m_revision = 5};

RolloutRecord RecordIn(RolloutPhase aPhase, std::uint64_t aRevision) {
  return {.m_service = "pool",
          .m_version = "v2",
          .m_orderRevision = 5,
          .m_phase = aPhase,
          .m_revision = aRevision};
}

RolloutReport ReportOf(const std::string& aEntry, RouteEvidence aEvidence, Duration aAge) {
  RolloutReport report;
  report.m_entry = aEntry;
  report.m_service = "pool";
  report.m_orderRevision = 5;
  report.m_orderAge = aAge;
  report.m_routes["r"] = aEvidence;
  report.m_recordRevision = 6;
  return report;
}

/// Requirement: a bad version must be rolled back before this many bad answers.
constexpr std::int64_t kMaxBadAnswers = 50;
constexpr int kMaxAnswers = 300;

} // namespace

TEST_CASE("a good version gets all traffic after half of the time that the order allows, and "
          "succeeds once the old one is idle") {
  RolloutEvaluator evaluator;
  Time now{Seconds(100)};
  const RolloutRecord canary = RecordIn(RolloutPhase::Canary, 6);
  evaluator.OnReport(ReportOf("a", {.m_newGood = 40, .m_oldGood = 400}, Seconds(6)), now);
  CHECK(evaluator.Evaluate(kOrder, canary, 1, now) == RolloutPhase::Canary);
  evaluator.OnReport(ReportOf("a", {.m_newGood = 60, .m_oldGood = 600}, Seconds(13)), now);
  CHECK(evaluator.Evaluate(kOrder, canary, 1, now) == RolloutPhase::Moving);
  const RolloutRecord moving = RecordIn(RolloutPhase::Moving, 7);
  RolloutReport busy = ReportOf("a", {.m_newGood = 90, .m_oldGood = 600}, Seconds(14));
  busy.m_recordRevision = 7;
  busy.m_oldVersionRunning = 3;
  evaluator.OnReport(busy, now);
  CHECK(evaluator.Evaluate(kOrder, moving, 1, now) == RolloutPhase::Moving);
  now += Seconds(7);
  evaluator.OnReport(busy, now);
  CHECK(evaluator.Evaluate(kOrder, moving, 1, now) == RolloutPhase::Moving);
  busy.m_oldVersionRunning = 0;
  evaluator.OnReport(busy, now);
  CHECK(evaluator.Evaluate(kOrder, moving, 2, now) == RolloutPhase::Moving);
  CHECK(evaluator.Evaluate(kOrder, moving, 1, now) == RolloutPhase::Succeeded);
}

TEST_CASE(
  "answers that could not be compared with the old version do not move a roll-out ahead of time") {
  RolloutEvaluator evaluator;
  const Time now{Seconds(100)};
  const RolloutRecord canary = RecordIn(RolloutPhase::Canary, 6);
  const RouteEvidence evidence = {.m_newGood = 60, .m_newNotCompared = 40, .m_oldGood = 600};
  evaluator.OnReport(ReportOf("a", evidence, Seconds(13)), now);
  CHECK(evaluator.Evaluate(kOrder, canary, 1, now) == RolloutPhase::Canary);
  // The new version gets all requests after the ramp, not before 19 s.
  const Duration ramp = RampTime(kOrder.m_within);
  evaluator.OnReport(ReportOf("a", evidence, Seconds(19) - ramp), now);
  CHECK(evaluator.Evaluate(kOrder, canary, 1, now) == RolloutPhase::Canary);
  // A good version must get all requests in time, also where few answers can be compared.
  evaluator.OnReport(ReportOf("a", evidence, Seconds(20) - ramp), now);
  CHECK(evaluator.Evaluate(kOrder, canary, 1, now) == RolloutPhase::Moving);
  RolloutReport idle = ReportOf("a", evidence, Seconds(20));
  idle.m_recordRevision = 7;
  const RolloutRecord moving = RecordIn(RolloutPhase::Moving, 7);
  evaluator.OnReport(idle, now + Seconds(3));
  evaluator.Evaluate(kOrder, moving, 1, now);
  CHECK(evaluator.Evaluate(kOrder, moving, 1, now + Seconds(3)) == RolloutPhase::Moving);
  idle.m_orderAge = Seconds(23);
  evaluator.OnReport(idle, now + Seconds(8));
  CHECK(evaluator.Evaluate(kOrder, moving, 1, now + Seconds(8)) == RolloutPhase::Succeeded);
}

TEST_CASE(
  "slow answers are judged against those that could be compared, and failures against all") {
  const Time now{Seconds(100)};
  const RolloutRecord moving = RecordIn(RolloutPhase::Moving, 7);
  RouteEvidence evidence = {
    .m_newGood = 55, .m_newNotCompared = 42, .m_newBad = 9, .m_newSlow = 9, .m_oldGood = 600};
  RolloutEvaluator slow;
  slow.OnReport(ReportOf("a", evidence, Seconds(23)), now);
  CHECK(slow.Evaluate(kOrder, moving, 1, now) == RolloutPhase::RolledBack);
  // A crash fails a few answers of any version, whether or not the others could be compared.
  evidence = {.m_newGood = 96, .m_newNotCompared = 90, .m_newBad = 4, .m_oldGood = 600};
  RolloutEvaluator failing;
  failing.OnReport(ReportOf("a", evidence, Seconds(12)), now);
  CHECK(failing.Evaluate(kOrder, moving, 1, now) == RolloutPhase::Moving);
  // What an entry reports reaches the others.
  RolloutReport report = ReportOf("a", {.m_newBad = 9, .m_newSlow = 7}, Seconds(1));
  const Result<RolloutReport> read = DecodeRolloutReport(EncodeRolloutReport(report));
  REQUIRE(!read.IsError());
  CHECK(read.Get().m_routes.at("r").m_newSlow == 7);
}

TEST_CASE(
  "a version with few answers, most of them bad, does not get all requests and is rolled back") {
  RolloutEvaluator evaluator;
  const Time now{Seconds(100)};
  const RolloutRecord canary = RecordIn(RolloutPhase::Canary, 6);
  const RouteEvidence evidence = {.m_newBad = 2, .m_oldGood = 600};
  evaluator.OnReport(ReportOf("a", evidence, Seconds(20)), now);
  CHECK(evaluator.Evaluate(kOrder, canary, 1, now) == RolloutPhase::Canary);
  evaluator.OnReport(ReportOf("a", evidence, Seconds(23)), now);
  CHECK(evaluator.Evaluate(kOrder, canary, 1, now) == RolloutPhase::RolledBack);
}

TEST_CASE("a version without any answer is moved on in time, since nobody may have asked for it") {
  RolloutEvaluator evaluator;
  const Time now{Seconds(100)};
  evaluator.OnReport(ReportOf("a", {.m_oldGood = 10}, Seconds(20)), now);
  CHECK(evaluator.Evaluate(kOrder, RecordIn(RolloutPhase::Canary, 6), 1, now) ==
        RolloutPhase::Moving);
}

TEST_CASE("streams that are slow on one server at one time count once, on most servers they show a "
          "bad version") {
  RolloutEvaluator evaluator;
  const Time now{Seconds(100)};
  const RolloutRecord moving = RecordIn(RolloutPhase::Moving, 7);
  RolloutReport one = ReportOf("a", {.m_newGood = 40, .m_oldGood = 600}, Seconds(16));
  RolloutReport other = ReportOf("b", {.m_newGood = 40, .m_oldGood = 600}, Seconds(16));
  for (std::uint64_t server = 1; server <= 3; ++server) {
    one.m_slowServers[{server, 15}] = true;
    other.m_slowServers[{server, 15}] = true;
  }
  evaluator.OnReport(one, now);
  evaluator.OnReport(other, now);
  CHECK(evaluator.Evaluate(kOrder, moving, 2, now) == RolloutPhase::Moving);
  for (std::uint64_t server = 1; server <= 9; ++server) {
    one.m_slowServers[{server, 16}] = true;
    other.m_slowServers[{server, 17}] = true;
  }
  evaluator.OnReport(one, now);
  evaluator.OnReport(other, now);
  CHECK(evaluator.Evaluate(kOrder, moving, 2, now) == RolloutPhase::RolledBack);
}

TEST_CASE("a version whose streams are delayed on most of its servers is rolled back, and one with "
          "a slow server is not") {
  const Time now{Seconds(100)};
  const RolloutRecord moving = RecordIn(RolloutPhase::Moving, 7);
  const auto phaseWith = [&](std::map<std::uint64_t, PaceEvidence> aFirst,
                             std::map<std::uint64_t, PaceEvidence> aSecond) {
    RolloutEvaluator evaluator;
    RolloutReport report = ReportOf("a", {.m_newGood = 20, .m_oldGood = 600}, Seconds(16));
    report.m_paces = std::move(aFirst);
    evaluator.OnReport(report, now);
    report.m_entry = "b";
    report.m_paces = std::move(aSecond);
    evaluator.OnReport(report, now);
    return evaluator.Evaluate(kOrder, moving, 2, now);
  };
  const PaceEvidence usual = {.m_streams = 4, .m_delayed = 1};
  const PaceEvidence delayed = {.m_streams = 4, .m_delayed = 3};
  CHECK(phaseWith({{1, delayed}, {2, delayed}}, {{3, usual}}) == RolloutPhase::RolledBack);
  CHECK(phaseWith({{1, delayed}, {2, usual}}, {{3, usual}}) == RolloutPhase::Moving);
  // Entries see a few streams of a server each.
  const PaceEvidence one = {.m_streams = 2, .m_delayed = 2};
  CHECK(phaseWith({{1, one}, {2, one}, {3, one}}, {}) == RolloutPhase::Moving);
  CHECK(phaseWith({{1, one}, {2, one}, {3, one}}, {{1, one}, {2, one}, {3, one}}) ==
        RolloutPhase::RolledBack);
  // Two servers may be slow by chance.
  CHECK(phaseWith({{1, delayed}, {2, delayed}}, {}) == RolloutPhase::Moving);
}

TEST_CASE("when its time is up, a version is rolled back on less evidence than before") {
  RolloutEvaluator evaluator;
  const Time now{Seconds(100)};
  const RolloutRecord moving = RecordIn(RolloutPhase::Moving, 7);
  const RouteEvidence evidence = {.m_newGood = 72,
                                  .m_newNotCompared = 44,
                                  .m_newBad = 6,
                                  .m_newSlow = 6,
                                  .m_oldGood = 1267,
                                  .m_oldBad = 24};
  evaluator.OnReport(ReportOf("a", evidence, Seconds(20)), now);
  CHECK(evaluator.Evaluate(kOrder, moving, 1, now) == RolloutPhase::Moving);
  evaluator.OnReport(ReportOf("a", evidence, Seconds(23)), now);
  CHECK(evaluator.Evaluate(kOrder, moving, 1, now) == RolloutPhase::RolledBack);
}

TEST_CASE(
  "once all requests go to a version, it is rolled back on less evidence than in the ramp") {
  RolloutEvaluator evaluator;
  const Time start{Seconds(100)};
  const RolloutRecord moving = RecordIn(RolloutPhase::Moving, 7);
  // Seen 0.5 s after the ramp in a play of a version that is slow in a fifth of its requests.
  const RouteEvidence slow = {.m_newGood = 26,
                              .m_newNotCompared = 21,
                              .m_newBad = 3,
                              .m_newSlow = 3,
                              .m_oldGood = 971,
                              .m_oldBad = 27};
  evaluator.OnReport(ReportOf("a", slow, Seconds(14)), start);
  CHECK(evaluator.Evaluate(kOrder, moving, 1, start) == RolloutPhase::Moving);
  const Time rampEnd = start + RampTime(kOrder.m_within);
  evaluator.OnReport(ReportOf("a", slow, Seconds(17)), rampEnd);
  CHECK(evaluator.Evaluate(kOrder, moving, 1, rampEnd - Milliseconds(1)) == RolloutPhase::Moving);
  CHECK(evaluator.Evaluate(kOrder, moving, 1, rampEnd) == RolloutPhase::RolledBack);
  // A good version had up to 6 bad answers of 224.
  RolloutEvaluator good;
  const RouteEvidence usual = {.m_newGood = 93,
                               .m_newNotCompared = 32,
                               .m_newBad = 4,
                               .m_newSlow = 4,
                               .m_oldGood = 1053,
                               .m_oldBad = 18};
  good.OnReport(ReportOf("a", usual, Seconds(14)), start);
  CHECK(good.Evaluate(kOrder, moving, 1, start) == RolloutPhase::Moving);
  CHECK(good.Evaluate(kOrder, moving, 1, rampEnd) == RolloutPhase::Moving);
}

TEST_CASE("a report survives the wire") {
  RolloutReport report = ReportOf("a", {.m_newGood = 9, .m_newNotCompared = 4}, Seconds(16));
  report.m_slowServers[{~0ULL, 3}] = true;
  report.m_failedServers[7] = false;
  report.m_paces[~0ULL] = {.m_streams = 5, .m_delayed = 2};
  const Result<RolloutReport> read = DecodeRolloutReport(EncodeRolloutReport(report));
  REQUIRE(!read.IsError());
  CHECK(read.Get().m_routes.at("r").m_newNotCompared == 4);
  CHECK(read.Get().m_slowServers == report.m_slowServers);
  CHECK(read.Get().m_failedServers == report.m_failedServers);
  CHECK(read.Get().m_paces.at(~0ULL).m_streams == 5);
  CHECK(read.Get().m_paces.at(~0ULL).m_delayed == 2);
  CHECK(DecodeRolloutReport("").IsError());
}

TEST_CASE("an order's age is that of the entry that has known it longest") {
  RolloutEvaluator evaluator;
  const Time now{Seconds(100)};
  evaluator.OnReport(ReportOf("restarted", {.m_newGood = 30}, Seconds(1)), now);
  evaluator.OnReport(ReportOf("old", {.m_newGood = 30}, Seconds(13)), now);
  CHECK(evaluator.OrderAge(now + Seconds(1)) == Seconds(14));
}

TEST_CASE("bad versions are rolled back after few answers, good ones hardly ever") {
  int falseAlarms = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    for (const double badShare : {0.02, 0.3, 0.6}) {
      RolloutEvaluator evaluator;
      RouteEvidence evidence = {.m_oldGood = 300, .m_oldBad = 6};
      int answers = 0;
      RolloutPhase phase = RolloutPhase::Canary;
      for (; answers < kMaxAnswers && phase == RolloutPhase::Canary; ++answers) {
        ++(random.Chance(badShare) ? evidence.m_newBad : evidence.m_newGood);
        evaluator.OnReport(ReportOf("a", evidence, Seconds(3)), Time{Seconds(100)});
        phase =
          evaluator.Evaluate(kOrder, RecordIn(RolloutPhase::Canary, 6), 1, Time{Seconds(100)});
      }
      if (badShare < 0.1) {
        falseAlarms += phase == RolloutPhase::RolledBack ? 1 : 0;
      } else {
        CHECK(phase == RolloutPhase::RolledBack);
        CHECK(evidence.m_newBad < kMaxBadAnswers);
      }
    }
  }
  // The sequential test has a false alarm rate of one in a hundred.
  CHECK(falseAlarms <= 2);
}

TEST_CASE("a version that is bad on one route only is rolled back although the others are fine") {
  RolloutEvaluator evaluator;
  RolloutReport report =
    ReportOf("a", {.m_newGood = 4, .m_newBad = 8, .m_oldGood = 100}, Seconds(5));
  report.m_routes["fine"] = {.m_newGood = 400, .m_oldGood = 4000};
  evaluator.OnReport(report, Time{Seconds(100)});
  CHECK(evaluator.Evaluate(kOrder, RecordIn(RolloutPhase::Canary, 6), 1, Time{Seconds(100)}) ==
        RolloutPhase::RolledBack);
}

TEST_CASE("failures that the old version has at the same rate do not cause a rollback") {
  RolloutEvaluator evaluator;
  evaluator.OnReport(
    ReportOf("a", {.m_newGood = 25, .m_newBad = 5, .m_oldGood = 250, .m_oldBad = 50}, Seconds(5)),
    Time{Seconds(100)});
  CHECK(evaluator.Evaluate(kOrder, RecordIn(RolloutPhase::Canary, 6), 1, Time{Seconds(100)}) ==
        RolloutPhase::Canary);
}

TEST_CASE("a finished record keeps its phase") {
  RolloutEvaluator evaluator;
  evaluator.OnReport(ReportOf("a", {.m_newBad = 50, .m_oldGood = 100}, Seconds(5)),
                     Time{Seconds(100)});
  CHECK(evaluator.Evaluate(kOrder, RecordIn(RolloutPhase::Succeeded, 9), 1, Time{Seconds(100)}) ==
        RolloutPhase::Succeeded);
}

TEST_CASE("a few server crashes that break many answers do not end the canary of a good version") {
  RolloutEvaluator evaluator;
  const Time now{Seconds(100)};
  const RolloutRecord canary = RecordIn(RolloutPhase::Canary, 6);
  for (const std::string entry : {"a", "b", "c", "d", "e"}) {
    RolloutReport report =
      ReportOf(entry, {.m_newGood = 8, .m_oldGood = 300, .m_oldBad = 10}, Seconds(6));
    report.m_failedServers = {{11, true}, {12, true}, {21, false}};
    evaluator.OnReport(report, now);
  }
  CHECK(evaluator.Evaluate(kOrder, canary, 5, now) == RolloutPhase::Canary);
}

TEST_CASE("a version whose servers keep crashing is rolled back") {
  RolloutEvaluator evaluator;
  const Time now{Seconds(100)};
  RolloutReport report = ReportOf("a", {.m_newGood = 20, .m_oldGood = 900}, Seconds(6));
  for (std::uint64_t server = 1; server <= 9; ++server) {
    report.m_failedServers[server] = true;
  }
  evaluator.OnReport(report, now);
  CHECK(evaluator.Evaluate(kOrder, RecordIn(RolloutPhase::Canary, 6), 1, now) ==
        RolloutPhase::RolledBack);
}

TEST_CASE("a report survives encoding and decoding") {
  RolloutReport report =
    ReportOf("a", {.m_newGood = 1, .m_newBad = 2, .m_oldGood = 3, .m_oldBad = 4}, Seconds(6));
  report.m_failedServers = {{~0ULL, true}, {7, false}};
  const Result<RolloutReport> read = DecodeRolloutReport(EncodeRolloutReport(report));
  REQUIRE(!read.IsError());
  CHECK(read.Get().m_failedServers == report.m_failedServers);
  CHECK(read.Get().m_routes.at("r").m_oldBad == 4);
}

#include "LibRouting/RolloutEvaluator.h"

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

/// The users' bound: after so many bad answers, the time to roll back runs.
constexpr std::int64_t kMostBadAnswers = 50;
constexpr int kMostAnswers = 300;

} // namespace

TEST_CASE("a good version moves after half of its time and succeeds once the old one is idle") {
  RolloutEvaluator judge;
  Time now{Seconds(100)};
  const RolloutRecord canary = RecordIn(RolloutPhase::Canary, 6);
  judge.OnReport(ReportOf("a", {.m_newGood = 40, .m_oldGood = 400}, Seconds(6)), now);
  CHECK(judge.Evaluate(kOrder, canary, 1, now) == RolloutPhase::Canary);
  judge.OnReport(ReportOf("a", {.m_newGood = 60, .m_oldGood = 600}, Seconds(13)), now);
  CHECK(judge.Evaluate(kOrder, canary, 1, now) == RolloutPhase::Moving);
  const RolloutRecord moving = RecordIn(RolloutPhase::Moving, 7);
  RolloutReport busy = ReportOf("a", {.m_newGood = 90, .m_oldGood = 600}, Seconds(14));
  busy.m_recordRevision = 7;
  busy.m_oldVersionRunning = 3;
  judge.OnReport(busy, now);
  CHECK(judge.Evaluate(kOrder, moving, 1, now) == RolloutPhase::Moving);
  now += Seconds(4);
  judge.OnReport(busy, now);
  CHECK(judge.Evaluate(kOrder, moving, 1, now) == RolloutPhase::Moving);
  busy.m_oldVersionRunning = 0;
  judge.OnReport(busy, now);
  CHECK(judge.Evaluate(kOrder, moving, 2, now) == RolloutPhase::Moving);
  CHECK(judge.Evaluate(kOrder, moving, 1, now) == RolloutPhase::Succeeded);
}

TEST_CASE("an order's time counts from the entry that has known it longest") {
  RolloutEvaluator judge;
  const Time now{Seconds(100)};
  judge.OnReport(ReportOf("restarted", {.m_newGood = 30}, Seconds(1)), now);
  judge.OnReport(ReportOf("old", {.m_newGood = 30}, Seconds(13)), now);
  CHECK(judge.OrderAge(now + Seconds(1)) == Seconds(14));
}

TEST_CASE("bad versions are rolled back within few answers, good ones hardly ever") {
  int falseAlarms = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    for (const double badShare : {0.02, 0.3, 0.6}) {
      RolloutEvaluator judge;
      RouteEvidence evidence = {.m_oldGood = 300, .m_oldBad = 6};
      int answers = 0;
      RolloutPhase phase = RolloutPhase::Canary;
      for (; answers < kMostAnswers && phase == RolloutPhase::Canary; ++answers) {
        ++(random.Chance(badShare) ? evidence.m_newBad : evidence.m_newGood);
        judge.OnReport(ReportOf("a", evidence, Seconds(3)), Time{Seconds(100)});
        phase = judge.Evaluate(kOrder, RecordIn(RolloutPhase::Canary, 6), 1, Time{Seconds(100)});
      }
      if (badShare < 0.1) {
        falseAlarms += phase == RolloutPhase::RolledBack ? 1 : 0;
      } else {
        CHECK(phase == RolloutPhase::RolledBack);
        CHECK(evidence.m_newBad < kMostBadAnswers);
      }
    }
  }
  // The test's own rate of false alarms is one in a hundred.
  CHECK(falseAlarms <= 2);
}

TEST_CASE("a version that is bad on one route only is found by that route") {
  RolloutEvaluator judge;
  RolloutReport report =
    ReportOf("a", {.m_newGood = 4, .m_newBad = 8, .m_oldGood = 100}, Seconds(5));
  report.m_routes["fine"] = {.m_newGood = 400, .m_oldGood = 4000};
  judge.OnReport(report, Time{Seconds(100)});
  CHECK(judge.Evaluate(kOrder, RecordIn(RolloutPhase::Canary, 6), 1, Time{Seconds(100)}) ==
        RolloutPhase::RolledBack);
}

TEST_CASE("failures that the old version has as well speak against neither") {
  RolloutEvaluator judge;
  judge.OnReport(
    ReportOf("a", {.m_newGood = 25, .m_newBad = 5, .m_oldGood = 250, .m_oldBad = 50}, Seconds(5)),
    Time{Seconds(100)});
  CHECK(judge.Evaluate(kOrder, RecordIn(RolloutPhase::Canary, 6), 1, Time{Seconds(100)}) ==
        RolloutPhase::Canary);
}

TEST_CASE("a record that is over stays so") {
  RolloutEvaluator judge;
  judge.OnReport(ReportOf("a", {.m_newBad = 50, .m_oldGood = 100}, Seconds(5)), Time{Seconds(100)});
  CHECK(judge.Evaluate(kOrder, RecordIn(RolloutPhase::Succeeded, 9), 1, Time{Seconds(100)}) ==
        RolloutPhase::Succeeded);
}

TEST_CASE("servers of a good version that crash under many answers do not end its trial") {
  RolloutEvaluator judge;
  const Time now{Seconds(100)};
  const RolloutRecord canary = RecordIn(RolloutPhase::Canary, 6);
  for (const std::string entry : {"a", "b", "c", "d", "e"}) {
    RolloutReport report =
      ReportOf(entry, {.m_newGood = 8, .m_oldGood = 300, .m_oldBad = 10}, Seconds(6));
    report.m_failedServers = {{11, true}, {12, true}, {21, false}};
    judge.OnReport(report, now);
  }
  CHECK(judge.Evaluate(kOrder, canary, 5, now) == RolloutPhase::Canary);
}

TEST_CASE("a version whose servers keep crashing is rolled back") {
  RolloutEvaluator judge;
  const Time now{Seconds(100)};
  RolloutReport report = ReportOf("a", {.m_newGood = 20, .m_oldGood = 900}, Seconds(6));
  for (std::uint64_t server = 1; server <= 9; ++server) {
    report.m_failedServers[server] = true;
  }
  judge.OnReport(report, now);
  CHECK(judge.Evaluate(kOrder, RecordIn(RolloutPhase::Canary, 6), 1, now) ==
        RolloutPhase::RolledBack);
}

TEST_CASE("a report arrives as it was sent") {
  RolloutReport report =
    ReportOf("a", {.m_newGood = 1, .m_newBad = 2, .m_oldGood = 3, .m_oldBad = 4}, Seconds(6));
  report.m_failedServers = {{~0ULL, true}, {7, false}};
  const Result<RolloutReport> read = DecodeRolloutReport(EncodeRolloutReport(report));
  REQUIRE(!read.IsError());
  CHECK(read.Get().m_failedServers == report.m_failedServers);
  CHECK(read.Get().m_routes.at("r").m_oldBad == 4);
}

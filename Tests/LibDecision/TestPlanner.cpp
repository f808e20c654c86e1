#include "LibDecision/Estimates.h"
#include "LibDecision/Planner.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

VersionCandidate MakeCandidate(const std::string& aName, double aQuality, std::int64_t aMicros,
                               Duration aTime) {
  return {.m_version = aName,
          .m_estimate = {.m_quality = aQuality,
                         .m_qualityError = 0.001,
                         .m_firstToken = aTime,
                         .m_timeSpread = 0.1,
                         .m_outputTokens = 100.0,
                         .m_samples = 1000,
                         .m_ratings = 5000},
          .m_inputMicrosPer1000Tokens = aMicros,
          .m_outputMicrosPer1000Tokens = aMicros};
}

std::vector<VersionCandidate> ThreeCandidates() {
  return {MakeCandidate("cheap@1", 0.80, 100, Milliseconds(100)),
          MakeCandidate("middle@1", 0.96, 1000, Milliseconds(300)),
          MakeCandidate("best@1", 0.99, 10000, Milliseconds(900))};
}

PlanQuery MakeQuery() {
  return {.m_qualityTarget = 0.93,
          .m_timeLeft = Seconds(10),
          .m_inputTokens = 100,
          .m_mostOutputTokens = 100};
}

} // namespace

TEST_CASE("the cheapest version that meets the target is chosen, with a reason") {
  Random random(1);
  const PlanResult result = MakePlan(MakeQuery(), ThreeCandidates(), random);
  REQUIRE(result.m_plan.has_value());
  REQUIRE(result.m_plan->m_steps.size() == 1);
  CHECK(result.m_plan->m_steps[0].m_version == "middle@1");
  CHECK(result.m_plan->m_expectedCostMicros == doctest::Approx(200.0));
  CHECK(result.m_plan->m_reason.find("middle@1") != std::string::npos);
}

TEST_CASE("a cascade is chosen if it is cheaper, and its first step leaves time for the second") {
  PlanQuery query = MakeQuery();
  query.m_mayCascade = true;
  query.m_judgeTime = Milliseconds(200);
  query.m_judgeCostMicros = 5;
  Random random(1);
  const PlanResult result = MakePlan(query, ThreeCandidates(), random);
  REQUIRE(result.m_plan->m_steps.size() == 2);
  CHECK(result.m_plan->m_steps[0].m_version == "cheap@1");
  CHECK(result.m_plan->m_steps[1].m_version == "middle@1");
  CHECK(result.m_plan->m_steps[0].m_giveUpAfter + Milliseconds(500) <= query.m_timeLeft);
  CHECK(result.m_plan->m_steps[1].m_giveUpAfter == query.m_timeLeft);
}

TEST_CASE("without a judge or time for two steps there is no cascade") {
  PlanQuery query = MakeQuery();
  query.m_mayCascade = true;
  Random random(1);
  CHECK(MakePlan(query, ThreeCandidates(), random).m_plan->m_steps.size() == 1);
  query.m_judgeTime = Milliseconds(200);
  query.m_timeLeft = Milliseconds(450);
  CHECK(MakePlan(query, ThreeCandidates(), random).m_plan->m_steps.size() == 1);
}

TEST_CASE("a version that cannot finish in time is not chosen, whatever its quality") {
  PlanQuery query = MakeQuery();
  query.m_timeLeft = Milliseconds(200);
  Random random(1);
  const PlanResult result = MakePlan(query, ThreeCandidates(), random);
  CHECK(result.m_plan->m_steps[0].m_version == "cheap@1");
  query.m_timeLeft = Milliseconds(50);
  const PlanResult refused = MakePlan(query, ThreeCandidates(), random);
  CHECK(!refused.m_plan.has_value());
  CHECK(refused.m_refusal == PlanRefusal::CannotFinishInTime);
  CHECK(MakePlan(query, {}, random).m_refusal == PlanRefusal::NoVersion);
}

TEST_CASE("the wait for a version counts against the deadline") {
  std::vector<VersionCandidate> candidates = ThreeCandidates();
  candidates[1].m_expectedWait = Seconds(20);
  Random random(1);
  const PlanResult result = MakePlan(MakeQuery(), candidates, random);
  CHECK(result.m_plan->m_steps[0].m_version == "best@1");
}

TEST_CASE("exploration is limited by the quality of the usual plan above the target") {
  constexpr int kPlans = 20000;
  std::vector<VersionCandidate> candidates = ThreeCandidates();
  candidates[0].m_estimate.m_quality = 0.92;
  candidates[0].m_estimate.m_qualityError = 0.05;
  PlanQuery query = MakeQuery();
  query.m_exploreShare = 0.02;
  Random random(7);
  double quality = 0.0;
  int explored = 0;
  for (int number = 0; number < kPlans; ++number) {
    const PlanResult result = MakePlan(query, candidates, random);
    explored += result.m_plan->m_exploring ? 1 : 0;
    // The explored version is as bad as its uncertainty allows: two standard errors below its mean.
    quality += result.m_plan->m_exploring ? 0.82 : 0.96;
  }
  CHECK(explored > kPlans / 50);
  CHECK(quality / kPlans >= query.m_qualityTarget);
  candidates[0].m_estimate.m_qualityError = 0.001;
  CHECK(!MakePlan(query, candidates, random).m_plan->m_exploring);
}

TEST_CASE("leaving out dominated steps never makes a plan more expensive") {
  // A version dominated by one other may still be the second step after that one.
  const std::vector<VersionCandidate> candidates = {
    MakeCandidate("a@1", 0.90, 100, Milliseconds(100)),
    MakeCandidate("b@1", 0.89, 110, Milliseconds(110)),
    MakeCandidate("c@1", 0.99, 100000, Milliseconds(100))};
  PlanQuery query = MakeQuery();
  query.m_mayCascade = true;
  query.m_judgeTime = Milliseconds(1);
  Random random(1);
  const PlanResult result = MakePlan(query, candidates, random);
  REQUIRE(result.m_plan->m_steps.size() == 2);
  CHECK(result.m_plan->m_steps[1].m_version != "c@1");
}

TEST_CASE("estimates start from the prior, follow ratings and let old ones decay") {
  EstimateTable table;
  CHECK(table.Get("tag", "a@1", 0.9).m_quality == doctest::Approx(0.9));
  const double doubtBefore = table.Get("tag", "a@1", 0.9).m_qualityError;
  for (int rating = 0; rating < 500; ++rating) {
    table.ObserveRating("tag", "a@1", rating % 2 == 0, Time{});
  }
  const VersionEstimate half = table.Get("tag", "a@1", 0.9);
  CHECK(half.m_quality == doctest::Approx(0.5).epsilon(0.05));
  CHECK(half.m_qualityError < doubtBefore / 3);
  for (int rating = 0; rating < 20000; ++rating) {
    table.ObserveRating("tag", "a@1", true, Time{});
  }
  CHECK(table.Get("tag", "a@1", 0.9).m_quality > 0.99);
  CHECK(table.Get("brief", "a@1", 0.7).m_quality == doctest::Approx(0.7));
}

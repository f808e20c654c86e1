#include "LibDecision/ChangeDetector.h"
#include "LibDecision/ExposureGate.h"
#include "LibDecision/SequentialTest.h"
#include "Utilities/Policy/RolloutFake.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace fennelline;

TEST_CASE("a good version is withdrawn in at most 1 of 100 roll-outs under continuous monitoring") {
  constexpr int kRollouts = 2000;
  constexpr int kClusters = 3000;
  int withdrawn = 0;
  for (int rollout = 0; rollout < kRollouts; ++rollout) {
    Random random(static_cast<std::uint64_t>(rollout) + 1);
    SequentialTest test({.m_goodRate = 0.02});
    bool isWithdrawn = false;
    for (int cluster = 0; cluster < kClusters && !isWithdrawn; ++cluster) {
      test.Add(1, random.Chance(0.02) ? 1 : 0);
      isWithdrawn = test.Verdict() == ExposureVerdict::Withdraw;
    }
    withdrawn += isWithdrawn ? 1 : 0;
  }
  // 1 in 100, plus three standard deviations for this number of roll-outs.
  CHECK(withdrawn <= 33);
}

TEST_CASE(
  "a version ten times as bad is withdrawn within 150 rated clusters in 95 of 100 roll-outs") {
  std::vector<int> needed;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Random random(seed);
    SequentialTest test({.m_goodRate = 0.02});
    int clusters = 0;
    while (test.Verdict() != ExposureVerdict::Withdraw && clusters < 1000) {
      ++clusters;
      test.Add(1, random.Chance(0.20) ? 1 : 0);
    }
    needed.push_back(clusters);
  }
  std::sort(needed.begin(), needed.end());
  CHECK(needed[needed.size() / 2] <= 60);
  CHECK(needed[needed.size() * 95 / 100] <= 150);
}

TEST_CASE("a new step resets the evidence for the version and keeps the evidence against it") {
  SequentialTest test({.m_goodRate = 0.02, .m_badRate = 0.10});
  CHECK(test.Verdict() == ExposureVerdict::Continue);
  test.Add(100, 1);
  CHECK(test.Verdict() == ExposureVerdict::Advance);
  const double against = test.EvidenceAgainst();
  test.StartStep();
  CHECK(test.Verdict() == ExposureVerdict::Continue);
  CHECK(test.EvidenceAgainst() == against);
  // A session that was added as good and turned bad later counts as if it had been bad from the
  // start.
  SequentialTest late({.m_goodRate = 0.02});
  late.Add(1, 0);
  late.Add(0, 1);
  SequentialTest atOnce({.m_goodRate = 0.02});
  atOnce.Add(1, 1);
  CHECK(late.EvidenceAgainst() == doctest::Approx(atOnce.EvidenceAgainst()));
}

TEST_CASE("a change after a long good period is detected as quickly as one at the start") {
  ChangeDetector detector({.m_goodRate = 0.02});
  Random random(9);
  for (int cluster = 0; cluster < 20000; ++cluster) {
    detector.Add(1, random.Chance(0.02) ? 1 : 0);
  }
  CHECK(!detector.HasChanged());
  int clusters = 0;
  while (!detector.HasChanged() && clusters < 1000) {
    ++clusters;
    detector.Add(1, random.Chance(0.20) ? 1 : 0);
  }
  CHECK(clusters <= 150);
}

TEST_CASE("the detector's false alarm rate with a good version stays within the plan") {
  constexpr double kClustersPerAlarm = 2000.0;
  double clusters = 0.0;
  double alarms = 0.0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    ChangeDetector detector({.m_goodRate = 0.02, .m_clustersPerFalseAlarm = kClustersPerAlarm});
    while (!detector.HasChanged() && clusters < 1e7) {
      detector.Add(1, random.Chance(0.02) ? 1 : 0);
      clusters += 1.0;
    }
    alarms += 1.0;
  }
  CHECK(clusters / alarms >= kClustersPerAlarm);
}

TEST_CASE("the gate limits the unrated requests of all entries together") {
  const ExposureGatePlan plan;
  constexpr std::size_t kEntries = 8;
  std::int64_t out = 0;
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    std::int64_t own = 0;
    while (MayExpose(plan, own, 0, kEntries)) {
      ++own;
    }
    out += own;
  }
  CHECK(out <=
        static_cast<std::int64_t>(plan.m_firstUnjudged) + static_cast<std::int64_t>(kEntries));
  CHECK(MayExpose(plan, 10, 40, kEntries));
}

TEST_CASE("the good rate follows the previous version within limits") {
  CHECK(GoodClusterRate(10, 5, 0.02) == 0.02);
  CHECK(GoodClusterRate(10000, 600, 0.02) == doctest::Approx(0.065).epsilon(0.02));
  CHECK(GoodClusterRate(1000, 900, 0.02) == doctest::Approx(0.2));
}

TEST_CASE("a bad canary with late ratings and sessions exposes at most 150 requests in 95 of 100 "
          "roll-outs") {
  std::vector<std::int64_t> exposed;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RolloutFakeSettings settings;
    settings.m_newBadRate = 0.20;
    RolloutFake fake(settings, seed);
    const double control = fake.ControlRate(2000);
    SequentialTest test(
      {.m_goodRate = GoodClusterRate(2000, static_cast<std::int64_t>(control * 2000), 0.02)});
    RolloutCounts seen;
    fake.SetShare(0.05, 1.0, true);
    for (double second = 1.0; second < 3600.0 && test.Verdict() != ExposureVerdict::Withdraw;
         second += 1.0) {
      fake.RunUntil(second);
      const RolloutCounts counts = fake.Counts();
      test.Add(counts.m_clusters - seen.m_clusters, counts.m_badClusters - seen.m_badClusters);
      seen = counts;
    }
    exposed.push_back(seen.m_exposed);
  }
  std::sort(exposed.begin(), exposed.end());
  CHECK(exposed[exposed.size() * 95 / 100] <= 150);
}

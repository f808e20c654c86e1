#include "Utilities/Policy/Experiments.h"
#include "Utilities/Policy/RolloutFake.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fennelline {

namespace {

constexpr std::array<double, 4> kStepShares = {0.05, 0.25, 0.5, 1.0};
constexpr double kLeastGoodRate = 0.02;
constexpr double kBadRate = 0.20;
constexpr std::int64_t kControlClusters = 2000;

/// A roll-out's last step is watched for so long.
constexpr double kWatchSeconds = 600.0;
constexpr double kLongestSeconds = 7200.0;

/// After the first step only some clusters are rated.
constexpr double kLaterRatedShare = 0.2;

struct RolloutEnd {
  bool m_withdrawn = false;
  std::size_t m_step = 0;
  std::int64_t m_exposed = 0;
  double m_seconds = 0.0;
};

/// The policy of LibDecision: a sequential test at each look, a gate in the first step.
RolloutEnd RunTestedRollout(const RolloutFakeSettings& aSettings, std::uint64_t aSeed) {
  RolloutFake fake(aSettings, aSeed);
  const double control = fake.ControlRate(kControlClusters);
  const std::int64_t controlBad = std::llround(control * static_cast<double>(kControlClusters));
  const double good = GoodClusterRate(kControlClusters, controlBad, kLeastGoodRate);
  SequentialTest test({.m_goodRate = good, .m_badRate = good * 3.0});
  RolloutCounts seen;
  RolloutEnd end;
  double lastStepAt = 0.0;
  fake.SetShare(kStepShares[0], 1.0, true);
  while (end.m_seconds < kLongestSeconds) {
    end.m_seconds += aSettings.m_poolSeconds;
    fake.RunUntil(end.m_seconds);
    const RolloutCounts counts = fake.Counts();
    test.Add(counts.m_clusters - seen.m_clusters, counts.m_badClusters - seen.m_badClusters);
    seen = counts;
    const ExposureVerdict verdict = test.Verdict();
    if (verdict == ExposureVerdict::Withdraw) {
      fake.RunUntil(end.m_seconds + aSettings.m_withdrawSeconds);
      end.m_withdrawn = true;
      break;
    }
    const bool isLast = end.m_step + 1 == kStepShares.size();
    if (isLast && end.m_seconds - lastStepAt > kWatchSeconds) {
      break;
    }
    if (verdict == ExposureVerdict::Advance && !isLast) {
      ++end.m_step;
      lastStepAt = end.m_seconds;
      test.StartStep();
      fake.SetShare(kStepShares[end.m_step], kLaterRatedShare, false);
    }
  }
  end.m_exposed = fake.Counts().m_exposed;
  return end;
}

/// What is done without evidence: a fixed share for a fixed time, then a look at the rate of bad
/// ratings, a tenth of which are asked for.
RolloutEnd RunFixedRollout(const RolloutFakeSettings& aSettings, std::uint64_t aSeed) {
  constexpr double kStepSeconds = 300.0;
  constexpr double kRatedShare = 0.1;
  constexpr double kWithdrawAbove = 0.08;
  RolloutFake fake(aSettings, aSeed);
  RolloutEnd end;
  for (end.m_step = 0; end.m_step < kStepShares.size(); ++end.m_step) {
    fake.SetShare(kStepShares[end.m_step], kRatedShare, false);
    end.m_seconds += kStepSeconds;
    fake.RunUntil(end.m_seconds);
    const RolloutCounts& counts = fake.Counts();
    const double rate = static_cast<double>(counts.m_badClusters) /
                        static_cast<double>(std::max<std::int64_t>(1, counts.m_clusters));
    if (rate > kWithdrawAbove) {
      end.m_withdrawn = true;
      break;
    }
  }
  end.m_exposed = fake.Counts().m_exposed;
  return end;
}

/// Requests answered badly judged or not after the change, until the detector tells.
struct ChangeEnd {
  bool m_falseAlarm = false;
  bool m_found = false;
  std::int64_t m_exposed = 0;
  double m_seconds = 0.0;
};

ChangeEnd RunChange(RolloutFakeSettings aSettings, std::uint64_t aSeed) {
  constexpr double kGoodSeconds = 900.0;
  constexpr double kRatedShare = 0.1;
  constexpr double kMostSeconds = 900.0;
  RolloutFake fake(aSettings, aSeed);
  const double control = fake.ControlRate(kControlClusters);
  const double good =
    GoodClusterRate(kControlClusters, std::llround(control * static_cast<double>(kControlClusters)),
                    kLeastGoodRate);
  ChangeDetector detector({.m_goodRate = good});
  RolloutCounts seen;
  ChangeEnd end;
  std::int64_t exposedBefore = 0;
  fake.SetShare(1.0, kRatedShare, false);
  double now = 0.0;
  while (now < kGoodSeconds + kMostSeconds) {
    now += aSettings.m_poolSeconds;
    if (now > kGoodSeconds && exposedBefore == 0) {
      exposedBefore = fake.Counts().m_exposed;
      fake.SetBadRate(kBadRate);
    }
    fake.RunUntil(now);
    const RolloutCounts counts = fake.Counts();
    detector.Add(counts.m_clusters - seen.m_clusters, counts.m_badClusters - seen.m_badClusters);
    seen = counts;
    if (detector.HasChanged()) {
      end.m_falseAlarm = exposedBefore == 0;
      end.m_found = exposedBefore > 0;
      fake.RunUntil(now + aSettings.m_withdrawSeconds);
      end.m_exposed = fake.Counts().m_exposed - exposedBefore;
      end.m_seconds = now - kGoodSeconds;
      return end;
    }
  }
  return end;
}

constexpr const char* kOurs = "fennelline";
constexpr const char* kBaseline = "fixed-percent roll-out";
constexpr std::size_t kRolloutsPerSeed = 100;

struct Figures {
  std::vector<double> m_exposed;
  std::vector<double> m_exposedFixed;
  double m_missed = 0.0;
  double m_missedFixed = 0.0;
  double m_falseWithdrawals = 0.0;
  double m_falseWithdrawalsFixed = 0.0;
  std::vector<double> m_goodSeconds;
  std::vector<double> m_changeExposed;
  std::vector<double> m_changeSeconds;
  double m_changeFalseAlarms = 0.0;
  double m_changeMissed = 0.0;
};

Figures RunSeed(std::uint64_t aSeed) {
  Figures figures;
  const RolloutFakeSettings good;
  RolloutFakeSettings bad;
  bad.m_newBadRate = kBadRate;
  constexpr double kOne = 1.0 / static_cast<double>(kRolloutsPerSeed);
  for (std::size_t number = 0; number < kRolloutsPerSeed; ++number) {
    const std::uint64_t seed = aSeed * kRolloutsPerSeed + number;
    const RolloutEnd ours = RunTestedRollout(bad, seed);
    const RolloutEnd fixed = RunFixedRollout(bad, seed);
    figures.m_exposed.push_back(static_cast<double>(ours.m_exposed));
    figures.m_exposedFixed.push_back(static_cast<double>(fixed.m_exposed));
    figures.m_missed += ours.m_withdrawn ? 0.0 : kOne;
    figures.m_missedFixed += fixed.m_withdrawn ? 0.0 : kOne;
    const RolloutEnd fine = RunTestedRollout(good, seed);
    figures.m_falseWithdrawals += fine.m_withdrawn ? kOne : 0.0;
    figures.m_falseWithdrawalsFixed += RunFixedRollout(good, seed).m_withdrawn ? kOne : 0.0;
    figures.m_goodSeconds.push_back(fine.m_seconds);
    const ChangeEnd change = RunChange(good, seed);
    figures.m_changeExposed.push_back(static_cast<double>(change.m_exposed));
    figures.m_changeSeconds.push_back(change.m_seconds);
    figures.m_changeFalseAlarms += change.m_falseAlarm ? kOne : 0.0;
    figures.m_changeMissed += change.m_found || change.m_falseAlarm ? 0.0 : kOne;
  }
  return figures;
}

void AddFigures(Report& aReport, const Figures& aFigures) {
  constexpr double kMedian = 0.5;
  constexpr double kHigh = 0.95;
  const auto add = [&](const char* aName, const char* aPolicy, double aValue) {
    ValuesOf(aReport, aName, aPolicy).push_back(aValue);
  };
  add("exposed, median", kOurs, Quantile(aFigures.m_exposed, kMedian));
  add("exposed, 95th percentile", kOurs, Quantile(aFigures.m_exposed, kHigh));
  add("bad version not withdrawn, share", kOurs, aFigures.m_missed);
  add("false withdrawals per roll-out", kOurs, aFigures.m_falseWithdrawals);
  add("roll-out of a good version, seconds", kOurs, Quantile(aFigures.m_goodSeconds, kMedian));
  add("exposed, median", kBaseline, Quantile(aFigures.m_exposedFixed, kMedian));
  add("exposed, 95th percentile", kBaseline, Quantile(aFigures.m_exposedFixed, kHigh));
  add("bad version not withdrawn, share", kBaseline, aFigures.m_missedFixed);
  add("false withdrawals per roll-out", kBaseline, aFigures.m_falseWithdrawalsFixed);
  add("turned bad at full share: exposed, median", kOurs,
      Quantile(aFigures.m_changeExposed, kMedian));
  add("turned bad at full share: exposed, 95th percentile", kOurs,
      Quantile(aFigures.m_changeExposed, kHigh));
  add("turned bad at full share: seconds until found, median", kOurs,
      Quantile(aFigures.m_changeSeconds, kMedian));
  add("turned bad at full share: false alarms in 15 minutes before", kOurs,
      aFigures.m_changeFalseAlarms);
  add("turned bad at full share: not found in 15 minutes", kOurs, aFigures.m_changeMissed);
}

} // namespace

Report RunExposure(const ExperimentOptions& aOptions) {
  Report report{
    .m_experiment = "exposure", .m_firstSeed = aOptions.m_firstSeed, .m_seeds = aOptions.m_seeds};
  std::vector<Figures> figures(aOptions.m_seeds);
  ForEachSeed(aOptions,
              [&](std::size_t aIndex, std::uint64_t aSeed) { figures[aIndex] = RunSeed(aSeed); });
  std::vector<double> exposed;
  double falseWithdrawals = 0.0;
  for (const Figures& ofSeed : figures) {
    AddFigures(report, ofSeed);
    exposed.insert(exposed.end(), ofSeed.m_exposed.begin(), ofSeed.m_exposed.end());
    falseWithdrawals += ofSeed.m_falseWithdrawals / static_cast<double>(aOptions.m_seeds);
  }
  constexpr double kMedian = 0.5;
  constexpr double kHigh = 0.95;
  constexpr double kMedianTarget = 60.0;
  constexpr double kHighTarget = 150.0;
  constexpr double kFalseTarget = 0.01;
  ValuesOf(report, "all roll-outs: exposed, median", kOurs).push_back(Quantile(exposed, kMedian));
  ValuesOf(report, "all roll-outs: exposed, 95th percentile", kOurs)
    .push_back(Quantile(exposed, kHigh));
  ValuesOf(report, "all roll-outs: false withdrawals per roll-out", kOurs)
    .push_back(falseWithdrawals);
  SetTarget(report, "all roll-outs: exposed, median", kOurs, true, kMedianTarget);
  SetTarget(report, "all roll-outs: exposed, 95th percentile", kOurs, true, kHighTarget);
  SetTarget(report, "all roll-outs: false withdrawals per roll-out", kOurs, true, kFalseTarget);
  return report;
}

} // namespace fennelline

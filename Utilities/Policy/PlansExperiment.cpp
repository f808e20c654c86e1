#include "Utilities/Policy/Experiments.h"

#include "LibDecision/Estimates.h"
#include "LibDecision/Planner.h"
#include "Utilities/Policy/PlansWorld.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <concepts>
#include <queue>

namespace fennelline {

namespace {

std::vector<VersionCandidate> Candidates(const World& aWorld, std::size_t aKind,
                                         const EstimateTable& aEstimates) {
  std::vector<VersionCandidate> candidates;
  for (const TrueVersion& version : aWorld.m_versions) {
    const std::string& kind = aWorld.m_kinds[aKind].m_name;
    candidates.push_back(
      {.m_version = version.m_name,
       .m_estimate = aEstimates.Get(kind, version.m_name, version.m_priorQuality),
       .m_inputMicrosPer1000Tokens = version.m_inputMicros,
       .m_outputMicrosPer1000Tokens = version.m_outputMicros});
  }
  return candidates;
}

/// A way to choose versions.
template<typename Planner>
concept PlanPolicy = requires(const Planner& aPlanner, const PlanQuery& aQuery,
                              std::span<const VersionCandidate> aCandidates, Random& aRandom) {
  { aPlanner.Make(aQuery, aCandidates, aRandom) } -> std::same_as<Plan>;
};

struct ModelAwarePlans {
  Plan Make(const PlanQuery& aQuery, std::span<const VersionCandidate> aCandidates,
            Random& aRandom) const {
    return *MakePlan(aQuery, aCandidates, aRandom).m_plan;
  }
};

struct CheapestOnly {
  Plan Make(const PlanQuery& aQuery, std::span<const VersionCandidate> aCandidates,
            Random& /*aRandom*/) const {
    return Plan{.m_steps = {{aCandidates.front().m_version, aQuery.m_timeLeft}}};
  }
};

struct BestOnly {
  Plan Make(const PlanQuery& aQuery, std::span<const VersionCandidate> aCandidates,
            Random& /*aRandom*/) const {
    return Plan{.m_steps = {{aCandidates.back().m_version, aQuery.m_timeLeft}}};
  }
};

struct RandomVersion {
  Plan Make(const PlanQuery& aQuery, std::span<const VersionCandidate> aCandidates,
            Random& aRandom) const {
    const std::size_t index = aRandom.Below(aCandidates.size());
    return Plan{.m_steps = {{aCandidates[index].m_version, aQuery.m_timeLeft}}};
  }
};

struct PendingRating {
  Time m_at{};
  std::size_t m_kind = 0;
  std::size_t m_version = 0;
  bool m_good = false;
};

struct KindTally {
  double m_cost = 0.0;
  double m_answers = 0.0;
  double m_good = 0.0;
  double m_late = 0.0;
  double m_explored = 0.0;
  /// Of the last window.
  std::size_t m_windowAnswers = 0;
  std::size_t m_windowGood = 0;
  double m_windowExpected = 0.0;
  double m_windows = 0.0;
  double m_windowsMet = 0.0;
  double m_windowsExpectedMet = 0.0;
};

/// One run of one policy over one world.
template<PlanPolicy Policy>
class PlansRun {
public:
  PlansRun(const World& aWorld, std::uint64_t aSeed)
    : m_world(aWorld)
    , m_random(aSeed) {}

  std::array<KindTally, kKinds> Run();

private:
  std::size_t VersionIndex(const std::string& aName) const;
  std::size_t DrawKind();
  /// Runs one step; true where the answer is good.
  bool RunStep(std::size_t aKind, std::size_t aVersion, bool aRate, double& aCost, Duration& aTime);
  void Serve(std::size_t aKind, bool aCounts);
  void Tally(std::size_t aKind, bool aGood, bool aLate, double aCost, const Plan& aPlan);
  double TrueQuality(std::size_t aKind, const Plan& aPlan) const;

  const World& m_world;
  Random m_random;
  Policy m_policy;
  EstimateTable m_estimates;
  std::queue<PendingRating> m_ratings;
  std::array<KindTally, kKinds> m_tallies;
  Time m_now{};
};

template<PlanPolicy Policy>
std::size_t PlansRun<Policy>::VersionIndex(const std::string& aName) const {
  const auto found = std::find_if(m_world.m_versions.begin(), m_world.m_versions.end(),
                                  [&](const TrueVersion& aRow) { return aRow.m_name == aName; });
  return static_cast<std::size_t>(found - m_world.m_versions.begin());
}

template<PlanPolicy Policy>
std::size_t PlansRun<Policy>::DrawKind() {
  double left = m_random.Uniform();
  for (std::size_t kind = 0; kind + 1 < kKinds; ++kind) {
    left -= m_world.m_kinds[kind].m_share;
    if (left < 0.0) {
      return kind;
    }
  }
  return kKinds - 1;
}

template<PlanPolicy Policy>
bool PlansRun<Policy>::RunStep(std::size_t aKind, std::size_t aVersion, bool aRate, double& aCost,
                               Duration& aTime) {
  constexpr double kLengthSpread = 0.4;
  constexpr double kPriceUnit = 1000.0;
  const TrueVersion& version = m_world.m_versions[aVersion];
  const PlannedKind& kind = m_world.m_kinds[aKind];
  const double factor =
    std::exp(kLengthSpread * m_random.Normal() - kLengthSpread * kLengthSpread / 2.0);
  const double tokens = std::max(1.0, std::floor(kind.m_outputTokens * factor));
  const Duration time =
    version.m_firstToken +
    Duration(std::llround(static_cast<double>(version.m_perToken.count()) * tokens));
  aCost += (static_cast<double>(kind.m_inputTokens * version.m_inputMicros) +
            tokens * static_cast<double>(version.m_outputMicros)) /
           kPriceUnit;
  aTime += time;
  m_estimates.Observe(kind.m_name, version.m_name,
                      {.m_firstToken = version.m_firstToken,
                       .m_total = time,
                       .m_inputTokens = kind.m_inputTokens,
                       .m_outputTokens = static_cast<std::int64_t>(tokens)},
                      m_now);
  const bool good = m_random.Chance(version.m_quality[aKind]);
  if (m_random.Chance(aRate ? kExploredRatedShare : kRatedShare)) {
    m_ratings.push({m_now + kRatingDelay, aKind, aVersion, good});
  }
  return good;
}

template<PlanPolicy Policy>
void PlansRun<Policy>::Serve(std::size_t aKind, bool aCounts) {
  const std::vector<VersionCandidate> candidates = Candidates(m_world, aKind, m_estimates);
  const Plan plan = m_policy.Make(QueryOf(m_world, aKind), candidates, m_random);
  double cost = 0.0;
  Duration time{0};
  bool good = false;
  for (std::size_t step = 0; step < plan.m_steps.size(); ++step) {
    good = RunStep(aKind, VersionIndex(plan.m_steps[step].m_version), plan.m_exploring, cost, time);
    if (step + 1 == plan.m_steps.size()) {
      break;
    }
    time += kJudgeTime;
    cost += static_cast<double>(kJudgeCostMicros);
    const bool passes =
      good ? !m_random.Chance(kJudgeDoubtsGood) : !m_random.Chance(kJudgeFindsBad);
    if (passes) {
      break;
    }
  }
  if (aCounts) {
    Tally(aKind, good, time > m_world.m_kinds[aKind].m_deadline, cost, plan);
  }
}

/// The quality that the plan truly has.
template<PlanPolicy Policy>
double PlansRun<Policy>::TrueQuality(std::size_t aKind, const Plan& aPlan) const {
  const double first =
    m_world.m_versions[VersionIndex(aPlan.m_steps.front().m_version)].m_quality[aKind];
  if (aPlan.m_steps.size() == 1) {
    return first;
  }
  const double second =
    m_world.m_versions[VersionIndex(aPlan.m_steps.back().m_version)].m_quality[aKind];
  return first * (1.0 - kJudgeDoubtsGood) +
         (first * kJudgeDoubtsGood + (1.0 - first) * kJudgeFindsBad) * second;
}

template<PlanPolicy Policy>
void PlansRun<Policy>::Tally(std::size_t aKind, bool aGood, bool aLate, double aCost,
                             const Plan& aPlan) {
  KindTally& tally = m_tallies[aKind];
  const double target = m_world.m_kinds[aKind].m_target;
  tally.m_cost += aCost;
  tally.m_answers += 1.0;
  tally.m_good += aGood ? 1.0 : 0.0;
  tally.m_late += aLate ? 1.0 : 0.0;
  tally.m_explored += aPlan.m_exploring ? 1.0 : 0.0;
  ++tally.m_windowAnswers;
  tally.m_windowGood += aGood ? 1 : 0;
  tally.m_windowExpected += TrueQuality(aKind, aPlan);
  if (tally.m_windowAnswers == kWindow) {
    constexpr auto kAnswers = static_cast<double>(kWindow);
    const bool met = static_cast<double>(tally.m_windowGood) >= target * kAnswers;
    tally.m_windows += 1.0;
    tally.m_windowsMet += met ? 1.0 : 0.0;
    tally.m_windowsExpectedMet += tally.m_windowExpected >= target * kAnswers ? 1.0 : 0.0;
    tally.m_windowAnswers = 0;
    tally.m_windowGood = 0;
    tally.m_windowExpected = 0.0;
  }
}

template<PlanPolicy Policy>
std::array<KindTally, kKinds> PlansRun<Policy>::Run() {
  constexpr double kMicrosecondsPerSecond = 1e6;
  for (std::size_t request = 0; request < kRequests; ++request) {
    const double gap = m_random.Exponential(1.0 / kRequestsPerSecond);
    m_now += Duration(std::llround(gap * kMicrosecondsPerSecond));
    while (!m_ratings.empty() && m_ratings.front().m_at <= m_now) {
      const PendingRating& rating = m_ratings.front();
      m_estimates.ObserveRating(m_world.m_kinds[rating.m_kind].m_name,
                                m_world.m_versions[rating.m_version].m_name, rating.m_good, m_now);
      m_ratings.pop();
    }
    Serve(DrawKind(), request >= kWarmUp);
  }
  return m_tallies;
}

struct Figures {
  double m_costOverOracle = 0.0;
  double m_costOverBareOracle = 0.0;
  double m_windowsMet = 0.0;
  double m_windowsExpectedMet = 0.0;
  double m_worstKindWindows = 1.0;
  double m_late = 0.0;
  double m_explored = 0.0;
};

template<PlanPolicy Policy>
Figures RunOnce(bool aJudged, std::uint64_t aSeed) {
  constexpr std::uint64_t kWorldSeeds = 7'000'000;
  Random worldRandom(kWorldSeeds + aSeed);
  const World world = MakeWorld(aJudged, worldRandom);
  PlansRun<Policy> run(world, aSeed);
  const std::array<KindTally, kKinds> tallies = run.Run();
  double cost = 0.0;
  double oracle = 0.0;
  double bareOracle = 0.0;
  double windows = 0.0;
  double answers = 0.0;
  Figures figures;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const KindTally& tally = tallies[kind];
    cost += tally.m_cost;
    const double target = world.m_kinds[kind].m_target;
    oracle += tally.m_answers * OracleCost(world, kind, QualityToPlanFor(target));
    bareOracle += tally.m_answers * OracleCost(world, kind, target);
    windows += tally.m_windows;
    answers += tally.m_answers;
    figures.m_windowsMet += tally.m_windowsMet;
    figures.m_windowsExpectedMet += tally.m_windowsExpectedMet;
    figures.m_worstKindWindows =
      std::min(figures.m_worstKindWindows, tally.m_windowsMet / tally.m_windows);
    figures.m_late += tally.m_late;
    figures.m_explored += tally.m_explored;
  }
  figures.m_costOverOracle = cost / oracle;
  figures.m_costOverBareOracle = cost / bareOracle;
  figures.m_windowsMet /= windows;
  figures.m_windowsExpectedMet /= windows;
  figures.m_late /= answers;
  figures.m_explored /= answers;
  return figures;
}

void AddFigures(Report& aReport, const std::string& aRegime, const std::string& aPolicy,
                const Figures& aFigures) {
  const auto add = [&](const std::string& aName, double aValue) {
    ValuesOf(aReport, aRegime + ": " + aName, aPolicy).push_back(aValue);
  };
  add("cost over the all-knowing planner's", aFigures.m_costOverOracle);
  add("cost over an all-knowing planner's that meets the target on average only",
      aFigures.m_costOverBareOracle);
  add("windows of 1000 that meet the target", aFigures.m_windowsMet);
  add("windows whose plans truly meet the target", aFigures.m_windowsExpectedMet);
  add("windows that meet the target, worst kind", aFigures.m_worstKindWindows);
  add("late share", aFigures.m_late);
  add("explored share", aFigures.m_explored);
}

constexpr std::array<const char*, 4> kPolicies = {"fennelline", "cheapest only", "best only",
                                                  "random"};

void RunRegime(Report& aReport, const ExperimentOptions& aOptions, const std::string& aRegime,
               bool aJudged) {
  std::vector<std::array<Figures, kPolicies.size()>> figures(aOptions.m_seeds);
  ForEachSeed(aOptions, [&](std::size_t aIndex, std::uint64_t aSeed) {
    figures[aIndex] = {RunOnce<ModelAwarePlans>(aJudged, aSeed),
                       RunOnce<CheapestOnly>(aJudged, aSeed), RunOnce<BestOnly>(aJudged, aSeed),
                       RunOnce<RandomVersion>(aJudged, aSeed)};
  });
  double windows = 0.0;
  for (const auto& ofSeed : figures) {
    for (std::size_t policy = 0; policy < kPolicies.size(); ++policy) {
      AddFigures(aReport, aRegime, kPolicies[policy], ofSeed[policy]);
    }
    windows += ofSeed.front().m_windowsMet / static_cast<double>(aOptions.m_seeds);
  }
  // The windows of all seeds together: a median over seeds would hide the seeds that miss.
  const std::string pooled = aRegime + ": windows of 1000 that meet the target, all seeds";
  ValuesOf(aReport, pooled, kPolicies[0]).push_back(windows);
  constexpr double kCostTarget = 1.10;
  constexpr double kWindowTarget = 0.99;
  SetTarget(aReport, aRegime + ": cost over the all-knowing planner's", kPolicies[0], true,
            kCostTarget);
  SetTarget(aReport, pooled, kPolicies[0], false, kWindowTarget);
}

} // namespace

Report RunPlans(const ExperimentOptions& aOptions) {
  Report report{
    .m_experiment = "plans", .m_firstSeed = aOptions.m_firstSeed, .m_seeds = aOptions.m_seeds};
  RunRegime(report, aOptions, "judged", true);
  RunRegime(report, aOptions, "streams", false);
  return report;
}

} // namespace fennelline

#include "Utilities/Policy/PlansWorld.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fennelline {

namespace {

/// The cost of a plan by its true figures.
double TrueCost(const World& aWorld, std::size_t aKind, const TrueVersion& aVersion) {
  constexpr double kPriceUnit = 1000.0;
  const PlannedKind& kind = aWorld.m_kinds[aKind];
  return (static_cast<double>(kind.m_inputTokens * aVersion.m_inputMicros) +
          kind.m_outputTokens * static_cast<double>(aVersion.m_outputMicros)) /
         kPriceUnit;
}

} // namespace

World MakeWorld(bool aJudged, Random& aRandom) {
  World world{.m_judged = aJudged};
  world.m_kinds = {{{"tag", 0.4, 0.92, Milliseconds(2000), 150, 12.0},
                    {"reorder-note", 0.2, 0.93, Seconds(12), 500, 150.0},
                    {"brief", 0.15, 0.94, Seconds(60), 5300, 350.0},
                    {"appraisal", 0.25, 0.95, Seconds(20), 2700, 220.0}}};
  world.m_versions = {{{"mini@1", 50, 200, 0.88, {}, Milliseconds(40), Milliseconds(5)},
                       {"small@4", 150, 600, 0.93, {}, Milliseconds(60), Milliseconds(8)},
                       {"medium@2", 600, 2400, 0.96, {}, Milliseconds(120), Milliseconds(14)},
                       {"large@3", 2500, 10000, 0.98, {}, Milliseconds(250), Milliseconds(25)}}};
  constexpr std::array<double, kVersions> kMeanQuality = {0.88, 0.945, 0.97, 0.985};
  constexpr double kSpread = 0.03;
  constexpr double kMostQuality = 0.995;
  for (std::size_t version = 0; version < kVersions; ++version) {
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      const double room = (1.0 - kMeanQuality[version]);
      const double drawn = kMeanQuality[version] + kSpread * aRandom.Normal() * std::sqrt(room);
      world.m_versions[version].m_quality[kind] = std::min(kMostQuality, drawn);
    }
  }
  // The best version is good enough for every kind, or no planner could meet the target.
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    double& best = world.m_versions.back().m_quality[kind];
    constexpr double kMargin = 0.035;
    best = std::min(kMostQuality, std::max(best, world.m_kinds[kind].m_target + kMargin));
  }
  return world;
}

PlanQuery QueryOf(const World& aWorld, std::size_t aKind) {
  const PlannedKind& kind = aWorld.m_kinds[aKind];
  return PlanQuery{.m_qualityTarget = kind.m_target,
                   .m_timeLeft = kind.m_deadline,
                   .m_inputTokens = kind.m_inputTokens,
                   .m_mostOutputTokens = static_cast<std::int64_t>(kind.m_outputTokens * 4.0),
                   .m_judgeTime = kJudgeTime,
                   .m_judgeCostMicros = kJudgeCostMicros,
                   .m_judgeDetectionRate = kJudgeFindsBad,
                   .m_judgeFalseAlarmRate = kJudgeDoubtsGood,
                   .m_mayCascade = aWorld.m_judged,
                   .m_exploreShare = kExploreShare};
}

double OracleCost(const World& aWorld, std::size_t aKind, double aQuality) {
  double least = std::numeric_limits<double>::infinity();
  for (const TrueVersion& first : aWorld.m_versions) {
    const double quality = first.m_quality[aKind];
    const double cost = TrueCost(aWorld, aKind, first);
    least = quality >= aQuality ? std::min(least, cost) : least;
    for (const TrueVersion& second : aWorld.m_versions) {
      const double goesOn = quality * kJudgeDoubtsGood + (1.0 - quality) * kJudgeFindsBad;
      const double both = quality * (1.0 - kJudgeDoubtsGood) + goesOn * second.m_quality[aKind];
      if (aWorld.m_judged && &first != &second && both >= aQuality) {
        least = std::min(least, cost + static_cast<double>(kJudgeCostMicros) +
                                  goesOn * TrueCost(aWorld, aKind, second));
      }
    }
  }
  return least;
}

} // namespace fennelline

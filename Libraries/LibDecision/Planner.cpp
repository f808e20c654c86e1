#include "LibDecision/Planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace fennelline {

namespace {

/// A version's quality is compared with the target at this many standard errors below its mean.
constexpr double kQualityCaution = 0.5;

/// A version may still prove good enough if its quality reaches the target at this many standard
/// errors above its mean.
constexpr double kQualityOptimism = 1.5;

/// A step must meet the deadline at this many standard deviations above its mean time.
constexpr double kTimeCaution = 1.5;

/// The quality of an explored version is assumed this many standard errors below its mean when
/// computing how much exploration is affordable.
constexpr double kExploreCaution = 2.0;

/// Maximum share of requests for an explored version.
constexpr double kMaxExploreShare = 0.9;

/// The target must hold in 99 of 100 windows of this many requests. Chance alone takes a window
/// this many standard deviations below the expected quality.
constexpr double kWindowRequests = 1000.0;
constexpr double kWindowCaution = 2.33;

constexpr double kTokensPerPriceUnit = 1000.0;
constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);

/// The planning figures of one version.
struct StepFigures {
  double m_cost = 0.0;
  double m_quality = 0.0;
  double m_cautiousQuality = 0.0;
  Duration m_meanTime{0};
  Duration m_cautiousTime{0};
};

/// A plan, by the indices of its candidates.
struct Option {
  std::size_t m_first = kNoIndex;
  std::size_t m_second = kNoIndex;
  double m_cost = 0.0;
  double m_quality = 0.0;
  double m_cautiousQuality = 0.0;
};

double ExpectedOutputTokens(const PlanQuery& aQuery, const VersionEstimate& aEstimate) {
  const auto most = static_cast<double>(aQuery.m_mostOutputTokens);
  if (aEstimate.m_outputTokens <= 0.0) {
    return most;
  }
  return most > 0.0 ? std::min(most, aEstimate.m_outputTokens) : aEstimate.m_outputTokens;
}

Duration Scaled(Duration aDuration, double aFactor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

StepFigures FiguresOf(const PlanQuery& aQuery, const VersionCandidate& aCandidate) {
  const VersionEstimate& estimate = aCandidate.m_estimate;
  const double output = ExpectedOutputTokens(aQuery, estimate);
  StepFigures figures;
  figures.m_cost = (static_cast<double>(aQuery.m_inputTokens) *
                      static_cast<double>(aCandidate.m_inputMicrosPer1000Tokens) +
                    output * static_cast<double>(aCandidate.m_outputMicrosPer1000Tokens)) /
                   kTokensPerPriceUnit;
  figures.m_quality = estimate.m_quality;
  figures.m_cautiousQuality =
    std::max(0.0, estimate.m_quality - kQualityCaution * estimate.m_qualityError);
  const Duration work = estimate.m_firstToken + Scaled(estimate.m_perToken, output);
  figures.m_meanTime = aCandidate.m_expectedWait + work;
  figures.m_cautiousTime = figures.m_meanTime + Scaled(work, kTimeCaution * estimate.m_timeSpread);
  return figures;
}

/// Expected quality of a cascade that returns the first answer if the judge accepts it.
double CascadeQuality(const PlanQuery& aQuery, double aFirst, double aSecond) {
  const double keptGood = aFirst * (1.0 - aQuery.m_judgeFalseAlarmRate);
  const double escalated =
    aFirst * aQuery.m_judgeFalseAlarmRate + (1.0 - aFirst) * aQuery.m_judgeDetectionRate;
  return keptGood + escalated * aSecond;
}

double CascadeCost(const PlanQuery& aQuery, const StepFigures& aFirst, const StepFigures& aSecond) {
  const double escalated = aFirst.m_quality * aQuery.m_judgeFalseAlarmRate +
                           (1.0 - aFirst.m_quality) * aQuery.m_judgeDetectionRate;
  return aFirst.m_cost + static_cast<double>(aQuery.m_judgeCostMicros) + escalated * aSecond.m_cost;
}

Option SingleOption(std::size_t aIndex, const StepFigures& aFigures) {
  return Option{.m_first = aIndex,
                .m_cost = aFigures.m_cost,
                .m_quality = aFigures.m_quality,
                .m_cautiousQuality = aFigures.m_cautiousQuality};
}

Option CascadeOption(const PlanQuery& aQuery, std::span<const StepFigures> aFigures,
                     std::size_t aFirst, std::size_t aSecond) {
  const StepFigures& first = aFigures[aFirst];
  const StepFigures& second = aFigures[aSecond];
  return Option{.m_first = aFirst,
                .m_second = aSecond,
                .m_cost = CascadeCost(aQuery, first, second),
                .m_quality = CascadeQuality(aQuery, first.m_quality, second.m_quality),
                .m_cautiousQuality =
                  CascadeQuality(aQuery, first.m_cautiousQuality, second.m_cautiousQuality)};
}

/// Whether aLeft is better: the cheaper plan that meets the target or, if neither does, the one of
/// higher quality.
bool IsBetter(const Option& aLeft, const Option& aRight, double aTarget) {
  if (aRight.m_first == kNoIndex) {
    return true;
  }
  const bool leftMeets = aLeft.m_cautiousQuality >= aTarget;
  const bool rightMeets = aRight.m_cautiousQuality >= aTarget;
  if (leftMeets != rightMeets) {
    return leftMeets;
  }
  if (leftMeets) {
    return aLeft.m_cost < aRight.m_cost;
  }
  return aLeft.m_quality > aRight.m_quality;
}

bool CascadeMeetsDeadline(const PlanQuery& aQuery, const StepFigures& aFirst,
                          const StepFigures& aSecond) {
  return aFirst.m_cautiousTime + aQuery.m_judgeTime + aSecond.m_cautiousTime <= aQuery.m_timeLeft;
}

bool MayCascade(const PlanQuery& aQuery) {
  return aQuery.m_mayCascade && aQuery.m_judgeTime > Duration(0);
}

/// A list of candidate indices with inline storage.
struct IndexList {
  std::array<std::size_t, kMaxPlanCandidates> m_indices{};
  std::size_t m_count = 0;

  std::span<const std::size_t> All() const { return {m_indices.data(), m_count}; }
};

/// Whether aLeft is at least as good as aRight in every respect.
bool IsAsGood(const StepFigures& aLeft, const StepFigures& aRight) {
  return aLeft.m_cost <= aRight.m_cost && aLeft.m_cautiousQuality >= aRight.m_cautiousQuality &&
         aLeft.m_quality >= aRight.m_quality && aLeft.m_cautiousTime <= aRight.m_cautiousTime;
}

/// Returns the candidates that meet the deadline and are dominated by at most one other. A version
/// dominated by one other can still be useful: that other may be the first step, and a cascade does
/// not run a version twice. This keeps the number of cascades to compare small.
IndexList UsefulSteps(const PlanQuery& aQuery, std::span<const StepFigures> aFigures) {
  IndexList useful;
  for (std::size_t index = 0; index < aFigures.size(); ++index) {
    if (aFigures[index].m_cautiousTime > aQuery.m_timeLeft) {
      continue;
    }
    std::size_t better = 0;
    for (std::size_t other = 0; other < aFigures.size() && better < 2; ++other) {
      const bool asGood = other != index && IsAsGood(aFigures[other], aFigures[index]);
      // Of two equal candidates, the first counts as better.
      const bool isEqual = asGood && IsAsGood(aFigures[index], aFigures[other]);
      better += asGood && (!isEqual || other < index) ? 1 : 0;
    }
    if (better < 2) {
      useful.m_indices[useful.m_count] = index;
      ++useful.m_count;
    }
  }
  return useful;
}

Option BestOption(const PlanQuery& aQuery, std::span<const StepFigures> aFigures) {
  const IndexList useful = UsefulSteps(aQuery, aFigures);
  Option best;
  for (const std::size_t first : useful.All()) {
    const Option single = SingleOption(first, aFigures[first]);
    if (IsBetter(single, best, aQuery.m_qualityTarget)) {
      best = single;
    }
    if (!MayCascade(aQuery)) {
      continue;
    }
    for (const std::size_t second : useful.All()) {
      if (first == second || !CascadeMeetsDeadline(aQuery, aFigures[first], aFigures[second])) {
        continue;
      }
      const Option cascade = CascadeOption(aQuery, aFigures, first, second);
      if (IsBetter(cascade, best, aQuery.m_qualityTarget)) {
        best = cascade;
      }
    }
  }
  return best;
}

/// The fastest version whose mean time meets the deadline, used if none meets it with the safety
/// margin.
Option FastestOption(const PlanQuery& aQuery, std::span<const StepFigures> aFigures) {
  Option fastest;
  for (std::size_t index = 0; index < aFigures.size(); ++index) {
    const bool inTime = aFigures[index].m_meanTime <= aQuery.m_timeLeft;
    const bool faster = fastest.m_first == kNoIndex ||
                        aFigures[index].m_meanTime < aFigures[fastest.m_first].m_meanTime;
    if (inTime && faster) {
      fastest = SingleOption(index, aFigures[index]);
    }
  }
  return fastest;
}

/// A cheaper version that may prove good enough, and the share of requests to try it with.
struct Exploration {
  std::size_t m_index = kNoIndex;
  double m_share = 0.0;
};

/// Returns the share of requests that may explore the version. The quality of the best plan above
/// the target compensates for it: all requests together still meet the target even if the explored
/// version is as bad as its uncertainty allows.
double AffordableShare(const PlanQuery& aQuery, const VersionEstimate& aEstimate,
                       const Option& aBest) {
  const double slack = aBest.m_cautiousQuality - aQuery.m_qualityTarget;
  const double pessimistic = aEstimate.m_quality - kExploreCaution * aEstimate.m_qualityError;
  if (slack <= 0.0 || pessimistic >= aQuery.m_qualityTarget) {
    return aQuery.m_exploreShare;
  }
  const double share = slack / (aBest.m_cautiousQuality - pessimistic);
  return std::clamp(share, aQuery.m_exploreShare, kMaxExploreShare);
}

/// Chooses the exploration with the largest expected saving.
Exploration ChooseExploration(const PlanQuery& aQuery,
                              std::span<const VersionCandidate> aCandidates,
                              std::span<const StepFigures> aFigures, const Option& aBest) {
  Exploration chosen;
  double mostSaved = 0.0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const VersionEstimate& estimate = aCandidates[index].m_estimate;
    const bool mayProveGood =
      estimate.m_quality + kQualityOptimism * estimate.m_qualityError >= aQuery.m_qualityTarget;
    const bool inTime = aFigures[index].m_cautiousTime <= aQuery.m_timeLeft;
    const double share = AffordableShare(aQuery, estimate, aBest);
    const double saved = share * (aBest.m_cost - aFigures[index].m_cost);
    if (mayProveGood && inTime && saved > mostSaved) {
      mostSaved = saved;
      chosen = {.m_index = index, .m_share = share};
    }
  }
  return chosen;
}

std::string ReasonFor(const PlanQuery& aQuery, std::span<const VersionCandidate> aCandidates,
                      const Option& aOption, bool aExploring) {
  const bool meets = aOption.m_cautiousQuality >= aQuery.m_qualityTarget;
  const char* why = "cheapest that meets the quality target in time";
  if (aExploring) {
    why = "explored: cheaper, may meet the target, and the usual plan's quality pays for trying it";
  } else if (!meets) {
    why = "no plan is known to meet the quality target in time; best one in time";
  }
  std::string names = aCandidates[aOption.m_first].m_version;
  if (aOption.m_second != kNoIndex) {
    names += ", then " + aCandidates[aOption.m_second].m_version;
  }
  constexpr std::size_t kTextSize = 160;
  char figures[kTextSize];
  (void)std::snprintf(figures, sizeof(figures),
                      ": quality %.3f (at least %.3f, target %.3f), cost %.1f micros", // NOLINT
                      aOption.m_quality, aOption.m_cautiousQuality, aQuery.m_qualityTarget,
                      aOption.m_cost);
  return std::string(why) + ": " + names + figures;
}

Plan PlanOf(const PlanQuery& aQuery, std::span<const VersionCandidate> aCandidates,
            std::span<const StepFigures> aFigures, const Option& aOption, bool aExploring) {
  Plan plan;
  if (aOption.m_second == kNoIndex) {
    plan.m_steps = {{aCandidates[aOption.m_first].m_version, aQuery.m_timeLeft}};
  } else {
    const Duration second = aQuery.m_judgeTime + aFigures[aOption.m_second].m_cautiousTime;
    plan.m_steps = {{aCandidates[aOption.m_first].m_version, aQuery.m_timeLeft - second},
                    {aCandidates[aOption.m_second].m_version, aQuery.m_timeLeft}};
  }
  plan.m_expectedCostMicros = aOption.m_cost;
  plan.m_expectedQuality = aOption.m_quality;
  plan.m_exploring = aExploring;
  plan.m_reason = ReasonFor(aQuery, aCandidates, aOption, aExploring);
  return plan;
}

} // namespace

double QualityToPlanFor(double aTarget) {
  if (aTarget <= 0.0 || aTarget >= 1.0) {
    return aTarget;
  }
  return aTarget + kWindowCaution * std::sqrt(aTarget * (1.0 - aTarget) / kWindowRequests);
}

PlanResult MakePlan(const PlanQuery& aAsked, std::span<const VersionCandidate> aCandidates,
                    Random& aRandom) {
  if (aCandidates.empty()) {
    return PlanResult{.m_refusal = PlanRefusal::NoVersion};
  }
  PlanQuery query = aAsked;
  query.m_qualityTarget = QualityToPlanFor(aAsked.m_qualityTarget);
  const std::span<const VersionCandidate> candidates =
    aCandidates.first(std::min(aCandidates.size(), kMaxPlanCandidates));
  std::array<StepFigures, kMaxPlanCandidates> storage;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    storage[index] = FiguresOf(query, candidates[index]);
  }
  const std::span<const StepFigures> figures(storage.data(), candidates.size());
  Option best = BestOption(query, figures);
  if (best.m_first == kNoIndex) {
    best = FastestOption(query, figures);
  }
  if (best.m_first == kNoIndex) {
    return PlanResult{.m_refusal = PlanRefusal::CannotFinishInTime};
  }
  const Exploration exploration = query.m_exploreShare > 0.0
                                    ? ChooseExploration(query, candidates, figures, best)
                                    : Exploration();
  if (exploration.m_index != kNoIndex && aRandom.Chance(exploration.m_share)) {
    const Option option = SingleOption(exploration.m_index, figures[exploration.m_index]);
    return PlanResult{.m_plan = PlanOf(query, candidates, figures, option, true)};
  }
  return PlanResult{.m_plan = PlanOf(query, candidates, figures, best, false)};
}

} // namespace fennelline

#pragma once

#include "LibBase/Random.h"
#include "LibDecision/Estimates.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fennelline {

/// A plan looks at no more candidates than this; further ones are left out.
constexpr std::size_t kMaxPlanCandidates = 64;

/// A version that the contract allows and that has a live backend server, for one request.
struct VersionCandidate {
  std::string m_version;
  VersionEstimate m_estimate;
  std::int64_t m_inputMicrosPer1000Tokens = 0;
  std::int64_t m_outputMicrosPer1000Tokens = 0;
  /// Wait until a backend server of the version starts the request, as now foreseen.
  Duration m_expectedWait{0};
};

struct PlanQuery {
  double m_qualityTarget = 0.0;
  /// What is left until the deadline.
  Duration m_timeLeft{0};
  std::int64_t m_inputTokens = 0;
  std::int64_t m_mostOutputTokens = 0;
  /// Time that judging an answer takes before a cascade may go on; zero means no judge is at hand
  /// and cascades are out of the question.
  Duration m_judgeTime{0};
  std::int64_t m_judgeCostMicros = 0;
  /// The share of bad answers that the judge finds, and of good answers that it takes for bad.
  double m_judgeDetectionRate = 1.0;
  double m_judgeFalseAlarmRate = 0.0;
  /// A streamed answer cannot be taken back, so it has one step.
  bool m_mayCascade = false;
  /// The least share of requests that is used to learn whether a cheaper version meets the target;
  /// zero for no exploring. More are used as far as the quality of the usual plan pays for them.
  double m_exploreShare = 0.0;
};

struct PlanStep {
  std::string m_version;
  /// From the request's arrival: a step that has not answered by then is given up.
  Duration m_giveUpAfter{0};
};

/// The versions to try in order. A later step runs when the judge finds the answer before it bad.
struct Plan {
  std::vector<PlanStep> m_steps;
  double m_expectedCostMicros = 0.0;
  double m_expectedQuality = 0.0;
  /// The answer should be rated: that is what it is for.
  bool m_exploring = false;
  /// Why this plan, in one sentence, for `fennelline-ctl explain`.
  std::string m_reason;
};

/// Why there is no plan.
enum class PlanRefusal { NoVersion, CannotFinishInTime, QualityOutOfReach };

struct PlanResult {
  std::optional<Plan> m_plan;
  PlanRefusal m_refusal = PlanRefusal::NoVersion;
};

/// The quality that plans must have so that 99 in 100 windows of 1,000 requests meet the target.
double QualityToPlanFor(double aTarget);

/// The plan of least expected cost that meets the quality target and whose last step still meets
/// the deadline. Where no plan meets the target in time, the best one in time.
PlanResult MakePlan(const PlanQuery& aQuery, std::span<const VersionCandidate> aCandidates,
                    Random& aRandom);

} // namespace fennelline

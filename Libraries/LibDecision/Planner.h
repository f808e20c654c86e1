#pragma once

#include "LibBase/Random.h"
#include "LibDecision/Estimates.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fennelline {

/// Maximum number of candidates considered for a plan; further ones are ignored.
constexpr std::size_t kMaxPlanCandidates = 64;

/// A version that the contract allows for a request and that has a live backend server.
struct VersionCandidate {
  std::string m_version;
  VersionEstimate m_estimate;
  std::int64_t m_inputMicrosPer1000Tokens = 0;
  std::int64_t m_outputMicrosPer1000Tokens = 0;
  /// Predicted wait until a backend server of the version starts the request.
  Duration m_expectedWait{0};
};

struct PlanQuery {
  double m_qualityTarget = 0.0;
  /// Time left until the deadline.
  Duration m_timeLeft{0};
  std::int64_t m_inputTokens = 0;
  std::int64_t m_mostOutputTokens = 0;
  /// Time to judge an answer before a cascade may continue; zero if no judge is available, which
  /// rules out cascades.
  Duration m_judgeTime{0};
  std::int64_t m_judgeCostMicros = 0;
  /// Share of bad answers that the judge detects, and share of good answers that it takes for bad.
  double m_judgeDetectionRate = 1.0;
  double m_judgeFalseAlarmRate = 0.0;
  /// False for streamed answers: they cannot be taken back, so the plan has a single step.
  bool m_mayCascade = false;
  /// Minimum share of requests used to explore whether a cheaper version meets the target; zero
  /// disables exploration. The share is higher if the usual plan exceeds the target by enough to
  /// compensate.
  double m_exploreShare = 0.0;
};

struct PlanStep {
  std::string m_version;
  /// Time after the request's arrival at which the step is cancelled if it has not answered.
  Duration m_giveUpAfter{0};
};

/// The versions to try in order. A later step runs if the judge rejects the previous answer.
struct Plan {
  std::vector<PlanStep> m_steps;
  double m_expectedCostMicros = 0.0;
  double m_expectedQuality = 0.0;
  /// The plan explores a version, so its answer should be rated.
  bool m_exploring = false;
  /// Reason for the plan in one sentence, shown by `fennelline-ctl explain`.
  std::string m_reason;
};

/// The reason why there is no plan.
enum class PlanRefusal { NoVersion, CannotFinishInTime, QualityOutOfReach };

struct PlanResult {
  std::optional<Plan> m_plan;
  PlanRefusal m_refusal = PlanRefusal::NoVersion;
};

/// Returns the expected quality that plans need so that 99 of 100 windows of 1,000 requests meet
/// the target.
double QualityToPlanFor(double aTarget);

/// Returns the plan of least expected cost that meets the quality target and whose last step meets
/// the deadline. If no plan meets the target in time, returns the one of best quality in time.
PlanResult MakePlan(const PlanQuery& aQuery, std::span<const VersionCandidate> aCandidates,
                    Random& aRandom);

} // namespace fennelline

#pragma once

#include "LibBase/Random.h"
#include "LibDecision/Planner.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

constexpr std::size_t kKinds = 4;
constexpr std::size_t kVersions = 4;

/// A version as it truly is.
struct TrueVersion {
  std::string m_name;
  std::int64_t m_inputMicros = 0;
  std::int64_t m_outputMicros = 0;
  /// What operators say of it before any rating.
  double m_priorQuality = 0.0;
  /// Share of good answers by kind.
  std::array<double, kKinds> m_quality{};
  Duration m_firstToken{0};
  Duration m_perToken{0};
};

struct PlannedKind {
  std::string m_name;
  double m_share = 0.0;
  double m_target = 0.0;
  Duration m_deadline{0};
  std::int64_t m_inputTokens = 0;
  double m_outputTokens = 0.0;
};

/// Requests a second of one kind's stream; ratings come by time, so it matters.
constexpr double kRequestsPerSecond = 40.0;
constexpr std::size_t kRequests = 120'000;
constexpr std::size_t kWarmUp = 40'000;
constexpr std::size_t kWindow = 1000;

/// Ratings: of one answer in ten, of one in two explored ones, half a minute later.
constexpr double kRatedShare = 0.1;
constexpr double kExploredRatedShare = 0.5;
constexpr Duration kRatingDelay = Seconds(30);

/// A judge that knows an answer's worth before it is given out costs as much as rating it.
constexpr Duration kJudgeTime = Milliseconds(300);
constexpr std::int64_t kJudgeCostMicros = 20;
constexpr double kJudgeFindsBad = 0.9;
constexpr double kJudgeDoubtsGood = 0.03;

constexpr double kExploreShare = 0.02;

struct World {
  /// Whether answers can be judged before they are given out; streams cannot.
  bool m_judged = true;
  std::array<PlannedKind, kKinds> m_kinds;
  std::array<TrueVersion, kVersions> m_versions;
};

/// Each seed has other qualities around usual ones, so that no threshold fits by luck. Kinds may
/// differ by a point or two in what a version does for them; the priors know nothing of that.
World MakeWorld(bool aJudged, Random& aRandom);

/// What the planner is given for a request of the kind.
PlanQuery QueryOf(const World& aWorld, std::size_t aKind);

/// The cost of the cheapest plan that truly has the quality, for a kind. It is worked out apart
/// from the planner that it is to judge.
double OracleCost(const World& aWorld, std::size_t aKind, double aQuality);

} // namespace fennelline

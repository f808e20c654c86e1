#include "LibRouting/Placement.h"

#include "LibBase/RendezvousRank.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fennelline {

namespace {

/// All costs are in milliseconds of delay.

/// Cost per token of recomputing a prefix, in addition to the time itself: it delays the engine's
/// other requests and costs the operator compute.
constexpr double kRecomputeMsPerToken = 0.03;

/// Cost of missing the latency objective; a late answer has a third of the value. The risk starts
/// at this fraction of the objective, because a prediction does not include what other entries have
/// just sent.
constexpr double kLateMs = 3000.0;
constexpr double kRiskBeginsAt = 0.4;

/// Cost of another data centre: the round trip, and the price of each byte on the link, converted
/// to the delay of a prefill of the same price.
constexpr double kFarMs = 3.0;
constexpr double kFarMsPerByte = 0.004;

/// A long prompt delays the answers that share its server, above all those to other long prompts,
/// which have the highest value. If the backlog of all servers of the right kind exceeds this cost,
/// servers of the other kind are used.
constexpr double kLongAmongOthersMs = 300.0;
constexpr double kOtherAmongLongMs = 150.0;
constexpr double kLongAmongLongMs = 1000.0;

/// A failure costs a retry, and some requests cannot be retried.
constexpr double kFailureMs = 1500.0;

/// A request has to wait if all slots are taken.
constexpr double kFullMs = 400.0;

/// A server that has just rejected a request is about as full as one whose slots are taken.
constexpr double kRejectedMs = 400.0;

/// Cost of generation beyond that of a usual server, per millisecond. The answer is not late for
/// it, but holds its slot and memory for longer.
constexpr double kGenerationCost = 0.05;

/// Answers that take this long on a usual server (a mean one on the largest model) go to each
/// server in proportion to its speed, much longer ones in proportion to its square, and very short
/// ones regardless of it.
constexpr double kProportionalMs = 3000.0;

/// Cost of an expected end past the deadline: the answer is lost. Larger than all other costs but
/// that of an avoided server. The risk starts at this fraction of the time left, because neither
/// the length of the answer nor the speed is exactly known.
constexpr double kLostMs = 20'000.0;
constexpr double kDeadlineRiskBeginsAt = 0.7;

/// A server that limits requests is spared while another one is not much slower.
constexpr double kLimitedMs = 1000.0;

/// The round trip to the entry that issues the permits of a cold server, and the chance that it has
/// none. A cold server is not in need: it should get as much as it may, but it looks empty to all
/// entries at once, so that a server with a few requests is preferred.
constexpr double kPermitMs = 8.0;

/// Larger than all other costs, so that these servers are used only as a last resort.
constexpr double kAvoidedMs = 100'000.0;

/// Random noise that spreads requests over equal servers.
constexpr double kNoiseMs = 2.0;

double LateRisk(double aPredictedMs, double aObjectiveMs) {
  if (aObjectiveMs <= 0.0) {
    return 0.0;
  }
  const double part = aPredictedMs / aObjectiveMs;
  return std::clamp((part - kRiskBeginsAt) / (1.0 - kRiskBeginsAt), 0.0, 1.0);
}

/// Least factor of the servers that may be used if their factors differ from 1, else none.
std::optional<double> LeastFactor(std::span<const PlacementCandidate> aCandidates) {
  double least = std::numeric_limits<double>::max();
  bool isUnequal = false;
  for (const PlacementCandidate& candidate : aCandidates) {
    isUnequal = isUnequal || candidate.m_speedFactor != 1.0;
    least = std::min(least, candidate.m_isAvoided ? least : candidate.m_speedFactor);
  }
  return isUnequal ? std::optional<double>(least) : std::nullopt;
}

/// Whether this request does without a slow server. Drawn for each request, so that servers get
/// work in proportion to their speed. A fixed cost cannot do that: an entry has no request on most
/// servers and knows little of the load there, so all entries would leave the slow servers idle
/// until the others are full.
bool SparesServer(const PlacementQuery& aQuery, double aLeastFactor, double aFactor,
                  Random& aRandom) {
  if (aFactor <= aLeastFactor) {
    return false;
  }
  const double exponent = 2.0 * aQuery.m_generateMs / (aQuery.m_generateMs + kProportionalMs);
  return !aRandom.Chance(std::pow(aLeastFactor / aFactor, exponent));
}

/// Cost of an expected end near or past the deadline.
double DeadlineCost(const PlacementQuery& aQuery, double aEndMs) {
  if (aQuery.m_timeLeftMs <= 0.0) {
    return 0.0;
  }
  const double part = aEndMs / aQuery.m_timeLeftMs;
  const double risk = (part - kDeadlineRiskBeginsAt) / (1.0 - kDeadlineRiskBeginsAt);
  // Of servers that all end too late, the one that ends first is the best.
  constexpr double kMostPart = 2.0;
  return std::clamp(risk, 0.0, 1.0) * kLateMs +
         (part > 1.0 ? kLostMs * std::min(part, kMostPart) : 0.0);
}

/// The answer's time on a server, if the servers differ.
struct ServerTimes {
  /// Own prefill there and on a usual server.
  double m_ownMs = 0.0;
  double m_usualOwnMs = 0.0;
  double m_firstEventMs = 0.0;
};

/// Cost of a server's speed, if the servers differ.
double SpeedCost(const PlacementQuery& aQuery, const PlacementCandidate& aServer,
                 const ServerTimes& aTimes, double aLeastFactor, Random& aRandom) {
  const double generateMs = aQuery.m_generateMs * aServer.m_speedFactor;
  double cost = DeadlineCost(aQuery, aTimes.m_firstEventMs + generateMs);
  if (SparesServer(aQuery, aLeastFactor, aServer.m_speedFactor, aRandom)) {
    const double usualMs = aQuery.m_generateMs * aLeastFactor;
    cost += std::max(0.0, aTimes.m_ownMs - aTimes.m_usualOwnMs);
    cost += (generateMs - usualMs) * kGenerationCost;
  }
  return cost;
}

/// Returns the server that every entry prefers for a prefix.
std::size_t FindPreferredServer(const PlacementQuery& aQuery,
                                std::span<const PlacementCandidate> aCandidates) {
  const bool hasReserved =
    std::any_of(aCandidates.begin(), aCandidates.end(),
                [](const PlacementCandidate& aServer) { return aServer.m_isReserved; });
  std::size_t preferred = 0;
  std::uint64_t highest = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const PlacementCandidate& candidate = aCandidates[index];
    const std::uint64_t rank = RendezvousRank(aQuery.m_prefix, candidate.m_identity);
    const bool matchesReservation = !hasReserved || candidate.m_isReserved == aQuery.m_isLong;
    if (matchesReservation && !candidate.m_isAvoided && !candidate.m_isLimited && rank >= highest) {
      highest = rank;
      preferred = index;
    }
  }
  return preferred;
}

/// Cost of mixing long prompts with other requests on a server.
double MixingCost(const PlacementQuery& aQuery, const PlacementCandidate& aServer) {
  if (!aQuery.m_isLong) {
    return aServer.m_isReserved ? kOtherAmongLongMs : 0.0;
  }
  return (aServer.m_isReserved ? 0.0 : kLongAmongOthersMs) +
         (aServer.m_isServingLongPrompt ? kLongAmongLongMs : 0.0);
}

} // namespace

std::optional<std::size_t> ChoosePlacement(const PlacementQuery& aQuery,
                                           std::span<const PlacementCandidate> aCandidates,
                                           Random& aRandom) {
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const std::size_t preferred =
    aQuery.m_prefix == 0 ? aCandidates.size() : FindPreferredServer(aQuery, aCandidates);
  const std::optional<double> leastFactor = LeastFactor(aCandidates);
  std::size_t best = 0;
  double leastCost = 0.0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const PlacementCandidate& candidate = aCandidates[index];
    const bool hasPrefix = index == preferred || candidate.m_holdsPrefix;
    double cost = aRandom.Uniform() * kNoiseMs;
    cost += candidate.m_load * aQuery.m_delayPerRequestMs;
    cost += candidate.m_load >= candidate.m_slots ? kFullMs : 0.0;
    const double usualOwnMs = aQuery.m_promptMs - (hasPrefix ? aQuery.m_prefixMs : 0.0);
    const double ownMs = usualOwnMs * candidate.m_speedFactor;
    const double predictedMs = candidate.m_prefillMs + ownMs;
    cost += candidate.m_prefillMs + usualOwnMs;
    cost += LateRisk(predictedMs, aQuery.m_objectiveMs) * kLateMs;
    cost += LateRisk(candidate.m_continuousPrefillMs + ownMs, aQuery.m_pauseObjectiveMs) * kLateMs;
    if (leastFactor) {
      const ServerTimes times = {
        .m_ownMs = ownMs, .m_usualOwnMs = usualOwnMs, .m_firstEventMs = predictedMs};
      cost += SpeedCost(aQuery, candidate, times, *leastFactor, aRandom);
    }
    cost += candidate.m_recentRejection * kRejectedMs;
    cost += MixingCost(aQuery, candidate);
    cost += hasPrefix ? 0.0 : static_cast<double>(aQuery.m_prefixTokens) * kRecomputeMsPerToken;
    cost += candidate.m_isNear ? 0.0 : kFarMs + aQuery.m_bytes * kFarMsPerByte;
    cost += candidate.m_isLimited ? kLimitedMs : 0.0;
    cost += candidate.m_needsPermit ? kPermitMs : 0.0;
    cost += candidate.m_failureRate * kFailureMs;
    cost += candidate.m_isAvoided ? kAvoidedMs : 0.0;
    if (index == 0 || cost < leastCost) {
      best = index;
      leastCost = cost;
    }
  }
  return best;
}

} // namespace fennelline

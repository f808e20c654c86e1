#include "LibRouting/Placement.h"

#include <algorithm>

namespace fennelline {

namespace {

/// All costs are in milliseconds of delay.

/// Reading a token of a prompt again, beyond the time itself: the engine's other requests wait for
/// it, and operators pay for it.
constexpr double kReadAgainMsPerToken = 0.03;

/// An answer that misses its objective is worth a third. The risk begins at this part of it, for a
/// prediction knows nothing of what other entries have just sent.
constexpr double kLateMs = 3000.0;
constexpr double kRiskBeginsAt = 0.4;

/// Crossing to another data centre: the way there and back, and the links' price for each byte,
/// weighed like the delay of reading a prompt of that price again.
constexpr double kFarMs = 3.0;
constexpr double kFarMsPerByte = 0.004;

/// A long prompt makes the answers beside it late, those to long prompts above all, which are worth
/// the most. Where all others are further behind than this, servers of the other kind are used.
constexpr double kLongAmongOthersMs = 300.0;
constexpr double kOthersAmongLongMs = 150.0;
constexpr double kLongAmongLongMs = 1000.0;

/// A failure costs a retry, and some requests cannot be repeated.
constexpr double kFailureMs = 1500.0;

/// Where all slots are taken, a request waits for one.
constexpr double kFullMs = 400.0;

/// A last resort comes after everything else.
constexpr double kShunnedMs = 100'000.0;

/// Spreads requests over equal servers.
constexpr double kNoiseMs = 2.0;

std::uint64_t Mix(std::uint64_t aValue) {
  return Random(aValue).Next();
}

double LateRisk(double aPredictedMs, double aObjectiveMs) {
  if (aObjectiveMs <= 0.0) {
    return 0.0;
  }
  const double part = aPredictedMs / aObjectiveMs;
  return std::clamp((part - kRiskBeginsAt) / (1.0 - kRiskBeginsAt), 0.0, 1.0);
}

/// The server that every entry thinks of first for a prefix.
std::size_t FindHome(const PlacementQuery& aQuery,
                     std::span<const PlacementCandidate> aCandidates) {
  const bool hasSetApart =
    std::any_of(aCandidates.begin(), aCandidates.end(),
                [](const PlacementCandidate& aServer) { return aServer.m_isReserved; });
  std::size_t home = 0;
  std::uint64_t highest = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const PlacementCandidate& candidate = aCandidates[index];
    const std::uint64_t rank = Mix(aQuery.m_prefix ^ candidate.m_identity);
    const bool isOfKind = !hasSetApart || candidate.m_isReserved == aQuery.m_isLong;
    if (isOfKind && !candidate.m_isAvoided && rank >= highest) {
      highest = rank;
      home = index;
    }
  }
  return home;
}

/// What it costs to mix long prompts and other answers on a server.
double MixingCost(const PlacementQuery& aQuery, const PlacementCandidate& aServer) {
  if (!aQuery.m_isLong) {
    return aServer.m_isReserved ? kOthersAmongLongMs : 0.0;
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
  const std::size_t home =
    aQuery.m_prefix == 0 ? aCandidates.size() : FindHome(aQuery, aCandidates);
  std::size_t best = 0;
  double leastCost = 0.0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const PlacementCandidate& candidate = aCandidates[index];
    const bool isHeld = index == home || candidate.m_holdsPrefix;
    double cost = aRandom.Uniform() * kNoiseMs;
    cost += candidate.m_load * aQuery.m_delayPerRequestMs;
    cost += candidate.m_load >= candidate.m_slots ? kFullMs : 0.0;
    const double ownMs = aQuery.m_promptMs - (isHeld ? aQuery.m_prefixMs : 0.0);
    const double predictedMs = candidate.m_prefillMs + ownMs;
    cost += predictedMs + LateRisk(predictedMs, aQuery.m_objectiveMs) * kLateMs;
    cost += LateRisk(candidate.m_continuousPrefillMs + ownMs, aQuery.m_pauseObjectiveMs) * kLateMs;
    cost += MixingCost(aQuery, candidate);
    cost += isHeld ? 0.0 : static_cast<double>(aQuery.m_prefixTokens) * kReadAgainMsPerToken;
    cost += candidate.m_isNear ? 0.0 : kFarMs + aQuery.m_bytes * kFarMsPerByte;
    cost += candidate.m_failureRate * kFailureMs;
    cost += candidate.m_isAvoided ? kShunnedMs : 0.0;
    if (index == 0 || cost < leastCost) {
      best = index;
      leastCost = cost;
    }
  }
  return best;
}

} // namespace fennelline

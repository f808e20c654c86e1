#pragma once

#include <algorithm>
#include <optional>

namespace fennelline {

/// When a smaller model's answer is good enough. The smallest model answers first: its opinion of
/// its answer comes with the first event and costs little, so a larger one is asked only where it
/// doubts.
///
/// Answers the load of servers that are behind: each prompt that a larger model reads delays
/// others, so the further they are behind, the more doubt is accepted.
struct EscalationPolicy {
  /// Percent. The largest model costs a fifth of what most answers are worth or less, and is in
  /// time while servers have little to read.
  double m_leastConfidence = 60.0;
  /// Milliseconds that servers are behind on quiet days, which no doubt is accepted for.
  double m_usualMsBehind = 100.0;
  /// Percent for each millisecond that the servers are behind on average: none is asked for any
  /// more when they are behind by half of a usual objective of two seconds.
  double m_acceptedPerMsBehind = 0.06;

  bool IsDoubtful(std::optional<int> aConfidence, double aMsBehind) const {
    const double least = std::max(
      0.0, m_leastConfidence - m_acceptedPerMsBehind * std::max(0.0, aMsBehind - m_usualMsBehind));
    return aConfidence && *aConfidence < least;
  }
};

} // namespace fennelline

#pragma once

#include <algorithm>
#include <optional>

namespace fennelline {

/// Decides when a smaller model's answer is good enough. The smallest model answers first. Its
/// confidence arrives with the first event and costs little, so a larger model is asked only if the
/// confidence is too low.
///
/// Each prompt that a larger model processes delays other requests, so lower confidence is accepted
/// the longer the servers' backlog is.
struct EscalationPolicy {
  /// Answers with a confidence (percent) below this are escalated to a larger model while the
  /// backlog is at most m_usualMsBehind. The largest model costs at most a fifth of the value of
  /// most answers and meets the objective while servers have a short prefill backlog.
  double m_leastConfidence = 60.0;
  /// Usual backlog of the servers in milliseconds; up to this the confidence threshold is not
  /// lowered.
  double m_usualMsBehind = 100.0;
  /// Percent by which the threshold drops per millisecond of mean backlog beyond the usual one. It
  /// reaches zero, so no larger model is asked, at a backlog of about half of a typical objective
  /// of two seconds.
  double m_acceptedPerMsBehind = 0.06;

  bool IsDoubtful(std::optional<int> aConfidence, double aMsBehind) const {
    const double least = std::max(
      0.0, m_leastConfidence - m_acceptedPerMsBehind * std::max(0.0, aMsBehind - m_usualMsBehind));
    return aConfidence && *aConfidence < least;
  }
};

} // namespace fennelline

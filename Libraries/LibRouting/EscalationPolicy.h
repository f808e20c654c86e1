#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <span>

namespace fennelline {

/// An answer of the smallest model, before any of it has been sent.
struct DoubtfulAnswer {
  std::optional<int> m_confidence;
  /// Mean prefill backlog of the servers.
  double m_msBehind = 0.0;
  /// Until the deadline.
  double m_timeLeftMs = 0.0;
  /// What is left of the latency objective; none without one.
  std::optional<double> m_objectiveLeftMs;
};

/// What a larger model could do instead, on the server that would end first.
struct LargerModel {
  /// Among the route's models.
  std::size_t m_index = 0;
  double m_firstEventMs = 0.0;
  /// Equals m_firstEventMs while the time between its events is unknown.
  double m_endMs = 0.0;
};

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
  /// Part of the time left that a larger model may be expected to use: neither the length of the
  /// answer nor the server's speed is exactly known.
  double m_usableTime = 0.9;
  /// A late answer of a larger model is better than one on time with less confidence (percent) than
  /// this: a late answer keeps between a tenth and a third of its value.
  double m_lateWorth = 20.0;

  bool IsDoubtful(std::optional<int> aConfidence, double aMsBehind) const {
    const double least = std::max(
      0.0, m_leastConfidence - m_acceptedPerMsBehind * std::max(0.0, aMsBehind - m_usualMsBehind));
    return aConfidence && *aConfidence < least;
  }

  /// Index of the model to ask instead; none to keep the answer. aLarger: smallest first. The
  /// largest model is asked if it can end in time. Others are a makeshift: the middle one of three
  /// answers about a fifth of what the smallest cannot, so it is not asked for a late answer.
  std::optional<std::size_t> ChooseModel(const DoubtfulAnswer& aAnswer,
                                         std::span<const LargerModel> aLarger) const {
    if (!IsDoubtful(aAnswer.m_confidence, aAnswer.m_msBehind)) {
      return std::nullopt;
    }
    for (std::size_t count = aLarger.size(); count > 0; --count) {
      const LargerModel& model = aLarger[count - 1];
      const bool isLate =
        aAnswer.m_objectiveLeftMs && model.m_firstEventMs > *aAnswer.m_objectiveLeftMs;
      const bool isWorthLate = count == aLarger.size() && *aAnswer.m_confidence < m_lateWorth;
      if (model.m_endMs <= aAnswer.m_timeLeftMs * m_usableTime && (!isLate || isWorthLate)) {
        return model.m_index;
      }
    }
    return std::nullopt;
  }
};

} // namespace fennelline

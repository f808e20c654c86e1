#pragma once

#include <optional>

namespace fennelline {

/// When a smaller model's answer is good enough. The smallest model answers first: its opinion of
/// its answer comes with the first event and costs little, so a larger one is asked only where it
/// doubts.
struct ModelPlan {
  /// Percent. The largest model costs a fifth or less of what most answers are worth, so an answer
  /// that is wrong one time in five is not good enough.
  int m_leastConfidence = 60;

  bool IsDoubtful(std::optional<int> aConfidence) const {
    return aConfidence && *aConfidence < m_leastConfidence;
  }
};

} // namespace fennelline

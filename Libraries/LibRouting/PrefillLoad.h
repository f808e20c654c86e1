#pragma once

#include "LibBase/Time.h"

#include <algorithm>
#include <cstdint>

namespace fennelline {

/// Prefill backlog of a backend server, as far as this entry knows.
class PrefillLoad {
public:
  /// Prompts with at least this prefill time are long: two of them in a row, or one and a short
  /// one, delay other answers beyond a typical pause objective of 1.5 seconds.
  static constexpr Duration kLongPrefill = Milliseconds(1000);

  void Add(Duration aTime, Time aNow) {
    if (m_until < aNow) {
      m_from = aNow;
    }
    m_until = std::max(m_until, aNow) + aTime;
    if (aTime >= kLongPrefill) {
      m_servesLongPromptUntil = m_until + kUsualAnswer;
    }
  }
  /// Remaining prefill time.
  Duration Left(Time aNow) const { return std::max(Duration(0), m_until - aNow); }
  /// Time from the start of the current uninterrupted prefill to its predicted end; zero if nothing
  /// is left to prefill.
  Duration ContinuousTime(Time aNow) const {
    return m_until > aNow ? m_until - m_from : Duration(0);
  }
  /// Whether a long prompt is in prefill or its answer is being generated there.
  bool IsServingLongPrompt(Time aNow) const { return aNow < m_servesLongPromptUntil; }

private:
  /// Typical time from the first to the last event: some 400 tokens at six milliseconds.
  static constexpr Duration kUsualAnswer = Milliseconds(2500);

  Time m_from{};
  Time m_until{};
  Time m_servesLongPromptUntil{};
};

/// Whether uninterrupted prefill on a server makes the events of other answers late. The server
/// runs one prefill chunk between any two generated tokens, and an event holds several tokens.
/// aChunkTime: prefill time of one chunk on the slowest model. aObjective: maximum pause between
/// events.
bool DelaysStreamEvents(std::int64_t aTokensPerEvent, Duration aChunkTime, Duration aObjective);

/// Typical number of tokens of a prefill chunk; servers do not report theirs.
constexpr std::int64_t kPrefillChunkTokens = 4096;

} // namespace fennelline

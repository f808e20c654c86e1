#pragma once

#include "LibBase/Time.h"

#include <algorithm>
#include <cstdint>

namespace fennelline {

/// Prompts that a backend server has been sent and has not read yet, as far as this entry knows.
class PrefillLoad {
public:
  /// Prompts that take so long to read are long ones: two of them in a row, or one and a little,
  /// delay other answers past a usual pause of 1.5 seconds.
  static constexpr Duration kLongPrefill = Milliseconds(1000);

  void Add(Duration aTime, Time aNow) {
    if (m_until < aNow) {
      m_from = aNow;
    }
    m_until = std::max(m_until, aNow) + aTime;
    if (aTime >= kLongPrefill) {
      m_answersLongUntil = m_until + kUsualAnswer;
    }
  }
  /// How long it will take to read those that are left.
  Duration Left(Time aNow) const { return std::max(Duration(0), m_until - aNow); }
  /// How long it will have read without a break when those are read; zero where none are left.
  Duration ContinuousTime(Time aNow) const {
    return m_until > aNow ? m_until - m_from : Duration(0);
  }
  /// An answer to a long prompt is being read or made there.
  bool IsServingLongPrompt(Time aNow) const { return aNow < m_answersLongUntil; }

private:
  /// From the first event to the last: some 400 tokens at six milliseconds.
  static constexpr Duration kUsualAnswer = Milliseconds(2500);

  Time m_from{};
  Time m_until{};
  Time m_answersLongUntil{};
};

/// Whether the events of answers are late while a server reads other prompts without a break: a
/// server reads one chunk between any two tokens, and an event holds several tokens.
/// aChunkTime: reading a chunk of the slowest model. aObjective: the longest pause in time.
bool DelaysStreamEvents(std::int64_t aTokensPerEvent, Duration aChunkTime, Duration aObjective);

/// Tokens of a chunk that engines read between two steps, as is usual; servers do not tell.
constexpr std::int64_t kPrefillChunkTokens = 4096;

} // namespace fennelline

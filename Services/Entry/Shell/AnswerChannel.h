#pragma once

#include "Services/Entry/EntryEffect.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace fennelline {

using AnswerPart = std::variant<AnswerHead, AnswerChunk, AnswerEnd>;

/// Carries the parts of one answer from the reducer's thread to the caller's.
class AnswerChannel {
public:
  void Push(AnswerPart aPart);
  /// The next part; nothing when none came within the wait.
  std::optional<AnswerPart> Pop(Duration aWait);

private:
  std::mutex m_mutex;
  std::condition_variable m_arrived;
  std::deque<AnswerPart> m_parts;
};

} // namespace fennelline

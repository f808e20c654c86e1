#pragma once

#include "Services/Entry/EntryEffect.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace fennelline {

using AnswerPart = std::variant<AnswerHead, AnswerChunk, AnswerEnd>;

/// Passes the parts of an answer from the reducer's thread to the caller's thread.
class AnswerChannel {
public:
  void Push(AnswerPart aPart);
  /// Returns the next part, or nothing if none arrives within aWait.
  std::optional<AnswerPart> Pop(Duration aWait);

private:
  std::mutex m_mutex;
  std::condition_variable m_arrived;
  std::deque<AnswerPart> m_parts;
};

} // namespace fennelline

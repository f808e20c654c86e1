#pragma once

#include "Services/Entry/Shell/AnswerChannel.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace fennelline {

/// The channels of callers that wait for an answer, by caller ID.
class PendingAnswers {
public:
  struct Slot {
    CallerId m_caller = 0;
    std::shared_ptr<AnswerChannel> m_channel;
  };

  /// Opens a channel for a new request.
  Slot Open();
  /// Removes the caller's channel. Parts that arrive later are dropped.
  void Close(CallerId aCaller);
  void Push(CallerId aCaller, AnswerPart aPart);
  std::size_t OpenCount();

private:
  std::atomic<CallerId> m_next{1};
  std::mutex m_mutex;
  std::unordered_map<CallerId, std::shared_ptr<AnswerChannel>> m_channels;
};

} // namespace fennelline

#include "Services/Entry/Shell/AnswerChannel.h"

namespace fennelline {

void AnswerChannel::Push(AnswerPart aPart) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_parts.push_back(std::move(aPart));
  }
  m_arrived.notify_one();
}

std::optional<AnswerPart> AnswerChannel::Pop(Duration aWait) {
  std::unique_lock<std::mutex> lock(m_mutex);
  const bool arrived = m_arrived.wait_for(lock, aWait, [this]() { return !m_parts.empty(); });
  if (!arrived) {
    return std::nullopt;
  }
  AnswerPart part = std::move(m_parts.front());
  m_parts.pop_front();
  return part;
}

} // namespace fennelline

#include "Services/Entry/Shell/PendingAnswers.h"

namespace fennelline {

PendingAnswers::Slot PendingAnswers::Open() {
  Slot slot{.m_caller = m_next.fetch_add(1), .m_channel = std::make_shared<AnswerChannel>()};
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_channels[slot.m_caller] = slot.m_channel;
  return slot;
}

void PendingAnswers::Close(CallerId aCaller) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_channels.erase(aCaller);
}

void PendingAnswers::Push(CallerId aCaller, AnswerPart aPart) {
  std::shared_ptr<AnswerChannel> channel;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_channels.find(aCaller);
    if (found == m_channels.end()) {
      return;
    }
    channel = found->second;
  }
  channel->Push(std::move(aPart));
}

std::size_t PendingAnswers::OpenCount() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_channels.size();
}

} // namespace fennelline

#include "LibRouting/LargeValueSender.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Time that the link may take to send the transfers in progress.
constexpr Duration kMaxBacklog = Milliseconds(250);

/// How long after its sending a value has probably been received, over the receiver's own link.
constexpr Duration kReceiveTime = Milliseconds(50);

} // namespace

bool LargeValueSender::Start(const DeferredValue& aValue, const std::string& aReceiver,
                             std::size_t aBytes, std::size_t aLinkBytesPerSecond, Time aNow) {
  if (m_value != aValue) {
    m_value = aValue;
    m_receivers.clear();
  }
  const std::chrono::duration<double> sendTime(static_cast<double>(aBytes) /
                                               static_cast<double>(aLinkBytesPerSecond));
  const Time sentAt = std::max(m_sentAt, aNow) + std::chrono::duration_cast<Duration>(sendTime);
  const bool isIdle = m_sentAt <= aNow;
  if (!isIdle && sentAt > aNow + kMaxBacklog) {
    return false;
  }
  m_sentAt = sentAt;
  m_receivers.push_back({.m_address = aReceiver, .m_receivedAt = sentAt + kReceiveTime});
  return true;
}

std::string LargeValueSender::NextHolder(Time aNow) {
  // Receivers are in the order in which they have received the value.
  const auto end =
    std::find_if(m_receivers.begin(), m_receivers.end(),
                 [aNow](const Receiver& aReceiver) { return aReceiver.m_receivedAt > aNow; });
  const std::size_t holders = static_cast<std::size_t>(end - m_receivers.begin());
  return holders == 0 ? std::string() : m_receivers[m_nextHolder++ % holders].m_address;
}

} // namespace fennelline

#include "Services/Edge/RoomQueue.h"

#include <algorithm>
#include <utility>

namespace fennelline {

RoomQueue::Ticket RoomQueue::Wait(const std::string& aService, int aUrgency, Duration aTime,
                                  std::function<void(bool)> aOnEnd) {
  const std::pair<int, Ticket> key{aUrgency, ++m_lastTicket};
  Waiting& waiting = m_queues[aService][key];
  waiting.m_onEnd = std::move(aOnEnd);
  waiting.m_timer = m_loop.After(aTime, [this, aService, key] { End(aService, key, false); });
  return key.second;
}

void RoomQueue::Leave(const std::string& aService, Ticket aTicket) {
  if (aTicket == kNoTicket) {
    return;
  }
  Queue& queue = m_queues[aService];
  const auto found = std::find_if(queue.begin(), queue.end(), [aTicket](const auto& aItem) {
    return aItem.first.second == aTicket;
  });
  if (found != queue.end()) {
    m_loop.Cancel(found->second.m_timer);
    queue.erase(found);
  }
}

std::size_t RoomQueue::CountWaiting(const std::string& aService) const {
  const auto found = m_queues.find(aService);
  return found == m_queues.end() ? 0 : found->second.size();
}

void RoomQueue::OnRoom(const std::string& aService) {
  const auto found = m_queues.find(aService);
  if (found != m_queues.end() && !found->second.empty()) {
    End(aService, found->second.begin()->first, true);
  }
}

void RoomQueue::End(const std::string& aService, std::pair<int, Ticket> aKey, bool aHasRoom) {
  Queue& queue = m_queues[aService];
  const auto found = queue.find(aKey);
  if (found == queue.end()) {
    return;
  }
  const Waiting waiting = std::move(found->second);
  m_loop.Cancel(waiting.m_timer);
  queue.erase(found);
  // The caller of OnRoom() may be in the middle of ending its request.
  m_loop.Post([onEnd = waiting.m_onEnd, aHasRoom] { onEnd(aHasRoom); });
}

} // namespace fennelline

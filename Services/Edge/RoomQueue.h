#pragma once

#include "LibBase/Time.h"
#include "LibHttp/EventLoop.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fennelline {

/// Requests that wait at this entry until a server has room for them, because the servers of their
/// service fall over when they have to turn many away. The most urgent goes first, of these the one
/// that has waited longest.
class RoomQueue {
public:
  using Ticket = std::uint64_t;
  static constexpr Ticket kNoTicket = 0;

  explicit RoomQueue(EventLoop& aLoop)
    : m_loop(aLoop) {}

  /// Waits for room for at most aTime. Calls aOnEnd with whether there may be room now.
  Ticket Wait(const std::string& aService, int aUrgency, Duration aTime,
              std::function<void(bool)> aOnEnd);
  void Leave(const std::string& aService, Ticket aTicket);
  std::size_t CountWaiting(const std::string& aService) const;
  /// A request has left a server of the service.
  void OnRoom(const std::string& aService);

private:
  struct Waiting {
    std::function<void(bool)> m_onEnd;
    EventLoop::TimerId m_timer = EventLoop::kNoTimer;
  };
  /// By urgency and ticket.
  using Queue = std::map<std::pair<int, Ticket>, Waiting>;

  void End(const std::string& aService, std::pair<int, Ticket> aKey, bool aHasRoom);

  EventLoop& m_loop;
  Ticket m_lastTicket = kNoTicket;
  std::map<std::string, Queue> m_queues;
};

} // namespace fennelline

#pragma once

#include "LibHttp/ClientConnection.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fennelline {

struct ConnectionPoolSettings {
  std::string m_address;
  /// Connection attempts that take longer fail.
  Duration m_connectTimeout = Milliseconds(300);
  /// Connections that have been idle for longer are not reused.
  Duration m_maxIdleTime = Seconds(4);
  SocketLimits m_socket;
};

/// Whether a server accepts connections.
enum class Reachability : std::uint8_t {
  Accepts,
  /// Nothing listens at its address.
  Refuses,
  /// No reply in time, or another failure.
  Unknown,
};

constexpr NameTable<Reachability, 3> kReachabilityNames = {{
  {Reachability::Accepts, "accepts"},
  {Reachability::Refuses, "refuses"},
  {Reachability::Unknown, "unknown"},
}};

/// Keep-alive connections to one server. Each call holds one connection until it releases it.
class ConnectionPool {
public:
  ConnectionPool(EventLoop& aLoop, ConnectionPoolSettings aSettings);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Returns an idle connection, or a new one. aNew forces a new connection, for calls that must
  /// not race with a server closing an idle one.
  Result<std::shared_ptr<ClientConnection>> Acquire(bool aNew);
  /// Returns a connection after its call has completed or failed.
  void Release(const std::shared_ptr<ClientConnection>& aConnection);
  /// Opens a connection to learn whether the server accepts it, and keeps it for later calls. The
  /// pool must exist until aOnResult has been called.
  void CheckReachability(std::function<void(Reachability)> aOnResult);
  /// Closes all idle connections.
  void CloseIdle();
  /// Closes the idle connections that have expired.
  void Sweep();

  std::size_t CountInUse() const { return m_inUse; }
  std::size_t CountIdle() const { return m_idle.size(); }
  std::size_t CountOpen() const { return m_inUse + m_idle.size(); }
  std::uint64_t CountConnected() const { return m_connected; }

private:
  void CloseLeastRecentlyUsed();
  bool IsExpired(const ClientConnection& aConnection) const;

  EventLoop& m_loop;
  ConnectionPoolSettings m_settings;
  std::vector<std::shared_ptr<ClientConnection>> m_idle;
  /// Connections in use that were requested with aNew.
  std::vector<const ClientConnection*> m_new;
  std::size_t m_inUse = 0;
  std::uint64_t m_connected = 0;
};

} // namespace fennelline

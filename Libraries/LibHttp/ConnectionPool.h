#pragma once

#include "LibHttp/ClientConnection.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace fennelline {

struct ConnectionPoolSettings {
  std::string m_address;
  /// A connection that takes longer counts as failed.
  Duration m_connectTime = Milliseconds(300);
  /// A kept channel that was idle longer is not used again.
  Duration m_mostIdle = Seconds(4);
  SocketLimits m_socket;
};

/// The channels to one server. A channel is out on loan for each call.
class ConnectionPool {
public:
  ConnectionPool(EventLoop& aLoop, ConnectionPoolSettings aSettings);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// A kept channel, or a new one. aFresh asks for one that was never used, for a call that must
  /// not meet a server which is just closing an idle channel.
  Result<std::shared_ptr<ClientConnection>> Take(bool aFresh);
  /// The call has ended, in whatever way.
  void GiveBack(const std::shared_ptr<ClientConnection>& aChannel);
  /// Closes all channels that carry no call.
  void CloseIdle();
  /// Closes kept channels that are too old to be used again.
  void Sweep();

  std::size_t CountInUse() const { return m_onLoan; }
  std::size_t CountOpen() const { return m_onLoan + m_idle.size(); }
  std::uint64_t CountConnected() const { return m_connected; }

private:
  /// Closes the kept channel that was used longest ago.
  void DropOldest();
  bool IsTooOld(const ClientConnection& aChannel) const;

  EventLoop& m_loop;
  ConnectionPoolSettings m_settings;
  std::vector<std::shared_ptr<ClientConnection>> m_idle;
  /// Those on loan that were asked for as new ones.
  std::vector<const ClientConnection*> m_fresh;
  std::size_t m_onLoan = 0;
  std::uint64_t m_connected = 0;
};

} // namespace fennelline

#pragma once

#include "LibHttp/StreamSocket.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace fennelline {

/// A TCP proxy on loopback whose connections share a limited rate towards the client, like the link
/// of a machine that serves several others.
class LimitedLink {
public:
  LimitedLink(EventLoop& aLoop, std::string aTarget, std::size_t aBytesPerSecond);

  std::string Address() const { return "127.0.0.1:" + std::to_string(LocalPort(m_listener)); }
  /// With a rate of zero nothing reaches the clients, and connections stay open.
  void SetRate(std::size_t aBytesPerSecond) { m_bytesPerSecond = aBytesPerSecond; }
  /// Bytes passed on to clients.
  std::size_t CountPassed() const { return m_passed; }

private:
  struct Channel {
    std::shared_ptr<StreamSocket> m_client;
    std::shared_ptr<StreamSocket> m_server;
  };

  void AcceptPending();
  void Pump();
  std::size_t PassOn(const Channel& aChannel, std::size_t aBytes);

  EventLoop& m_loop;
  std::string m_target;
  std::size_t m_bytesPerSecond;
  FileDescriptor m_listener;
  std::vector<Channel> m_channels;
  std::size_t m_passed = 0;
};

} // namespace fennelline

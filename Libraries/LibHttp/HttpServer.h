#pragma once

#include "LibHttp/ServerConnection.h"

#include <memory>
#include <string>
#include <unordered_set>

namespace fennelline {

/// Accepts connections on one address and keeps their time limits.
class HttpServer {
public:
  /// aMostChannels: further callers make the channel that has been idle longest close.
  HttpServer(EventLoop& aLoop, std::shared_ptr<ServerContext> aContext, std::size_t aMostChannels);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on "IP:PORT". Port 0 takes a free one, see Port().
  Result<void> Listen(const std::string& aAddress);
  int Port() const { return LocalPort(m_listener); }
  std::size_t CountChannels() const { return m_channels.size(); }
  std::size_t CountBusy() const;
  ServerContext& Context() { return *m_context; }

private:
  void AcceptAll();
  void Sweep();
  void CloseLongestIdle();

  EventLoop& m_loop;
  std::shared_ptr<ServerContext> m_context;
  std::size_t m_mostChannels;
  FileDescriptor m_listener;
  std::uint64_t m_watch = 0;
  std::unordered_set<std::shared_ptr<ServerConnection>> m_channels;
};

} // namespace fennelline

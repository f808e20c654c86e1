#pragma once

#include "LibHttp/ServerConnection.h"

#include <memory>
#include <string>
#include <unordered_set>

namespace fennelline {

/// Accepts connections on one address and enforces their timeouts.
class HttpServer {
public:
  /// Above aMaxConnections, each new connection closes the one that has been idle for longest.
  HttpServer(EventLoop& aLoop, std::shared_ptr<ServerContext> aContext,
             std::size_t aMaxConnections);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on "IP:PORT". Port 0 selects a free port, see Port().
  Result<void> Listen(const std::string& aAddress);
  int Port() const { return LocalPort(m_listener); }
  std::size_t CountConnections() const { return m_connections.size(); }
  /// Connections with a request in progress or partially received, or a response not yet written.
  std::size_t CountUnfinished() const;
  bool IsListening() const { return m_listener.IsOpen(); }
  /// Accepts the connections that are waiting, then refuses further ones.
  void StopListening();
  /// Answers all requests in progress and partially received ones now.
  void GiveUp();
  ServerContext& SharedContext() { return *m_context; }

private:
  void AcceptPending();
  void Sweep();
  void CloseLongestIdle();

  EventLoop& m_loop;
  std::shared_ptr<ServerContext> m_context;
  std::size_t m_maxConnections;
  FileDescriptor m_listener;
  std::uint64_t m_watch = 0;
  std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
};

} // namespace fennelline

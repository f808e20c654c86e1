#include "LibHttp/HttpServer.h"

#include <algorithm>
#include <vector>

namespace fennelline {

namespace {

/// How often connection timeouts are checked. The timeouts are at least one second.
constexpr Duration kSweepInterval = Milliseconds(250);

} // namespace

HttpServer::HttpServer(EventLoop& aLoop, std::shared_ptr<ServerContext> aContext,
                       std::size_t aMaxConnections)
  : m_loop(aLoop)
  , m_context(std::move(aContext))
  , m_maxConnections(aMaxConnections) {}

Result<void> HttpServer::Listen(const std::string& aAddress) {
  const sockaddr_in parsed = TRY(ParseSocketAddress(aAddress));
  const std::string ip = aAddress.substr(0, aAddress.rfind(':'));
  m_listener = TRY(ListenStream(ip, ntohs(parsed.sin_port)));
  m_watch = m_loop.Watch(m_listener.Number(), [this](const Readiness&) { AcceptPending(); });
  m_loop.Every(kSweepInterval, [this] { Sweep(); });
  return {};
}

void HttpServer::AcceptPending() {
  while (m_listener.IsOpen()) {
    FileDescriptor accepted = AcceptStream(m_listener);
    if (!accepted.IsOpen()) {
      return;
    }
    if (m_connections.size() >= m_maxConnections) {
      CloseLongestIdle();
    }
    std::shared_ptr<ServerConnection> connection = std::make_shared<ServerConnection>(
      m_loop, m_context, StreamSocket::Adopt(m_loop, std::move(accepted), {}));
    connection->Start();
    m_connections.insert(std::move(connection));
  }
}

void HttpServer::CloseLongestIdle() {
  std::shared_ptr<ServerConnection> oldest;
  for (const std::shared_ptr<ServerConnection>& connection : m_connections) {
    const bool isCandidate = connection->IsOpen() && connection->IsIdle();
    if (isCandidate && (!oldest || connection->IdleSince() < oldest->IdleSince())) {
      oldest = connection;
    }
  }
  if (oldest) {
    oldest->CloseIfIdle();
    m_connections.erase(oldest);
  }
}

void HttpServer::Sweep() {
  for (const std::shared_ptr<ServerConnection>& connection : m_connections) {
    connection->CheckTimeouts(m_loop.Now());
  }
  std::erase_if(m_connections, [](const std::shared_ptr<ServerConnection>& aConnection) {
    return !aConnection->IsOpen();
  });
}

std::size_t HttpServer::CountUnfinished() const {
  return static_cast<std::size_t>(
    std::count_if(m_connections.begin(), m_connections.end(),
                  [](const std::shared_ptr<ServerConnection>& aConnection) {
                    return aConnection->HasUnfinished();
                  }));
}

void HttpServer::StopListening() {
  if (!IsListening()) {
    return;
  }
  AcceptPending();
  m_loop.Unwatch(m_watch);
  m_listener.Close();
}

void HttpServer::GiveUp() {
  // Copied, since an answer may lead to further requests and connections.
  const std::vector<std::shared_ptr<ServerConnection>> connections(m_connections.begin(),
                                                                   m_connections.end());
  for (const std::shared_ptr<ServerConnection>& connection : connections) {
    connection->GiveUp();
  }
}

} // namespace fennelline

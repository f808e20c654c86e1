#include "LibHttp/ConnectionPool.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Idle connections are used only up to this fraction of the idle timeout announced by the server.
constexpr double kUsableIdleFraction = 0.6;

} // namespace

ConnectionPool::ConnectionPool(EventLoop& aLoop, ConnectionPoolSettings aSettings)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings)) {}

ConnectionPool::~ConnectionPool() {
  CloseIdle();
}

bool ConnectionPool::IsExpired(const ClientConnection& aConnection) const {
  Duration limit = m_settings.m_maxIdleTime;
  if (aConnection.ServerIdleTimeout() > Duration(0)) {
    const Duration usable =
      std::chrono::duration_cast<Duration>(aConnection.ServerIdleTimeout() * kUsableIdleFraction);
    limit = std::min(limit, usable);
  }
  return m_loop.Now() - aConnection.IdleSince() > limit;
}

Result<std::shared_ptr<ClientConnection>> ConnectionPool::Acquire(bool aNew) {
  while (!aNew && !m_idle.empty()) {
    std::shared_ptr<ClientConnection> connection = std::move(m_idle.back());
    m_idle.pop_back();
    connection->SetOnClosed({});
    if (connection->IsReusable() && !IsExpired(*connection)) {
      ++m_inUse;
      return connection;
    }
    connection->Abort();
  }
  std::shared_ptr<ClientConnection> connection = TRY(ClientConnection::Connect(
    m_loop, m_settings.m_address, m_settings.m_connectTimeout, m_settings.m_socket));
  ++m_inUse;
  ++m_connected;
  if (aNew) {
    m_new.push_back(connection.get());
  }
  return connection;
}

void ConnectionPool::CheckReachability(std::function<void(Reachability)> aOnResult) {
  Result<std::shared_ptr<ClientConnection>> acquired = Acquire(true);
  if (acquired.IsError()) {
    m_loop.Post([onResult = std::move(aOnResult)] { onResult(Reachability::Unknown); });
    return;
  }
  const std::shared_ptr<ClientConnection> connection = acquired.Take();
  connection->SetOnConnected([this, connection, aOnResult] {
    Release(connection);
    aOnResult(Reachability::Accepts);
  });
  connection->SetOnClosed([this, connection, aOnResult](CallFailure aFailure) {
    Release(connection);
    aOnResult(aFailure == CallFailure::Refused ? Reachability::Refuses : Reachability::Unknown);
  });
}

void ConnectionPool::CloseLeastRecentlyUsed() {
  m_idle.front()->SetOnClosed({});
  m_idle.front()->Abort();
  m_idle.erase(m_idle.begin());
}

void ConnectionPool::Release(const std::shared_ptr<ClientConnection>& aConnection) {
  --m_inUse;
  const bool wasNew = std::erase(m_new, aConnection.get()) > 0;
  if (!aConnection->IsReusable()) {
    aConnection->Abort();
    return;
  }
  if (wasNew && !m_idle.empty()) {
    // Every call on a new connection would otherwise add an idle one to the pool. Servers limit the
    // total number of connections and reset the excess, which leaves requests on them in an unknown
    // state.
    CloseLeastRecentlyUsed();
  }
  aConnection->SetOnClosed([this, raw = aConnection.get()](CallFailure) {
    std::erase_if(
      m_idle, [raw](const std::shared_ptr<ClientConnection>& aKept) { return aKept.get() == raw; });
  });
  m_idle.push_back(aConnection);
}

void ConnectionPool::Sweep() {
  // Acquire() takes from the back, so the connections idle for longest are at the front.
  while (!m_idle.empty() && IsExpired(*m_idle.front())) {
    CloseLeastRecentlyUsed();
  }
}

void ConnectionPool::CloseIdle() {
  for (const std::shared_ptr<ClientConnection>& connection : m_idle) {
    connection->SetOnClosed({});
    connection->Abort();
  }
  m_idle.clear();
}

} // namespace fennelline

#include "LibHttp/ConnectionPool.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Part of the server's own idle limit after which a kept channel is not trusted any more.
constexpr double kTrustedPartOfIdleLimit = 0.6;

} // namespace

ConnectionPool::ConnectionPool(EventLoop& aLoop, ConnectionPoolSettings aSettings)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings)) {}

ConnectionPool::~ConnectionPool() {
  CloseIdle();
}

bool ConnectionPool::IsTooOld(const ClientConnection& aChannel) const {
  Duration limit = m_settings.m_mostIdle;
  if (aChannel.ServerKeepsIdle() > Duration(0)) {
    const Duration trusted =
      std::chrono::duration_cast<Duration>(aChannel.ServerKeepsIdle() * kTrustedPartOfIdleLimit);
    limit = std::min(limit, trusted);
  }
  return m_loop.Now() - aChannel.IdleSince() > limit;
}

Result<std::shared_ptr<ClientConnection>> ConnectionPool::Take(bool aFresh) {
  while (!aFresh && !m_idle.empty()) {
    std::shared_ptr<ClientConnection> channel = std::move(m_idle.back());
    m_idle.pop_back();
    channel->SetOnClosed({});
    if (channel->IsReusable() && !IsTooOld(*channel)) {
      ++m_onLoan;
      return channel;
    }
    channel->Abandon();
  }
  std::shared_ptr<ClientConnection> channel = TRY(ClientConnection::Connect(
    m_loop, m_settings.m_address, m_settings.m_connectTime, m_settings.m_socket));
  ++m_onLoan;
  ++m_connected;
  if (aFresh) {
    m_fresh.push_back(channel.get());
  }
  return channel;
}

void ConnectionPool::DropOldest() {
  m_idle.front()->SetOnClosed({});
  m_idle.front()->Abandon();
  m_idle.erase(m_idle.begin());
}

void ConnectionPool::GiveBack(const std::shared_ptr<ClientConnection>& aChannel) {
  --m_onLoan;
  const bool wasFresh = std::erase(m_fresh, aChannel.get()) > 0;
  if (!aChannel->IsReusable()) {
    aChannel->Abandon();
    return;
  }
  if (wasFresh && !m_idle.empty()) {
    // Calls on new channels would pile up kept ones. Servers take a limited number of channels from
    // all callers and reset more, under requests that may have run for all that anyone can tell.
    DropOldest();
  }
  aChannel->SetOnClosed([this, raw = aChannel.get()] {
    std::erase_if(
      m_idle, [raw](const std::shared_ptr<ClientConnection>& aKept) { return aKept.get() == raw; });
  });
  m_idle.push_back(aChannel);
}

void ConnectionPool::Sweep() {
  // The oldest stand first, for the newest are used first.
  while (!m_idle.empty() && IsTooOld(*m_idle.front())) {
    DropOldest();
  }
}

void ConnectionPool::CloseIdle() {
  for (const std::shared_ptr<ClientConnection>& channel : m_idle) {
    channel->SetOnClosed({});
    channel->Abandon();
  }
  m_idle.clear();
}

} // namespace fennelline

#include "Services/Edge/OutgoingCalls.h"

#include <algorithm>

namespace fennelline {

namespace {

/// A response of which no further byte arrives for this time is given up.
constexpr Duration kMaxStall = Milliseconds(700);
/// The narrowest links carry the largest value of the store in 0.9 s.
constexpr Duration kMaxTransferTime = Seconds(3);

} // namespace

ConnectionPool& OutgoingCalls::PoolOf(const std::string& aAddress) {
  std::unique_ptr<ConnectionPool>& pool = m_pools[aAddress];
  if (!pool) {
    pool = std::make_unique<ConnectionPool>(m_loop, ConnectionPoolSettings{.m_address = aAddress});
  }
  return *pool;
}

void OutgoingCalls::Send(const std::string& aAddress, const std::string& aBytes, Duration aTimeout,
                         OnResponse aOnResponse, OnBegun aOnBegun) {
  ConnectionPool& pool = PoolOf(aAddress);
  const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
  exchange->m_onResponse = std::move(aOnResponse);
  exchange->m_onBegun = std::move(aOnBegun);
  exchange->m_pool = &pool;
  Result<std::shared_ptr<ClientConnection>> connection = pool.Acquire(false);
  if (connection.IsError()) {
    m_loop.Post([exchange] { exchange->m_onResponse(CallResponse{}); });
    return;
  }
  exchange->m_connection = connection.Take();
  exchange->m_deadline = m_loop.Now() + aTimeout;
  exchange->m_timer =
    m_loop.At(exchange->m_deadline, [this, exchange] { CheckDeadline(exchange); });
  CallListener listener;
  listener.m_onHead = [exchange](const MessageHead& aHead) {
    exchange->m_response.m_status = aHead.m_status;
    exchange->m_response.m_headers = aHead.m_headers;
    return HeadAction::Accept;
  };
  listener.m_onBody = [this, exchange](const std::string& aPart) { OnBody(exchange, aPart); };
  listener.m_onComplete = [this, exchange] { Finish(exchange, true); };
  listener.m_onFailed = [this, exchange](CallFailure) { Finish(exchange, false); };
  exchange->m_connection->Send(aBytes, false, std::move(listener));
}

void OutgoingCalls::OnBody(const std::shared_ptr<Exchange>& aExchange, const std::string& aPart) {
  const Time now = m_loop.Now();
  if (!aExchange->m_firstByteAt && aExchange->m_onBegun) {
    aExchange->m_onBegun();
  }
  aExchange->m_firstByteAt = aExchange->m_firstByteAt.value_or(now);
  CallResponse& response = aExchange->m_response;
  if (response.m_body.size() + aPart.size() > kMaxResponseBytes) {
    response.m_isTooLong = true;
    response.m_body = {};
    Finish(aExchange, false);
    return;
  }
  response.m_body += aPart;
  const Time extended = std::min(now + kMaxStall, *aExchange->m_firstByteAt + kMaxTransferTime);
  aExchange->m_deadline = std::max(aExchange->m_deadline, extended);
}

void OutgoingCalls::CheckDeadline(const std::shared_ptr<Exchange>& aExchange) {
  if (m_loop.Now() < aExchange->m_deadline) {
    aExchange->m_timer =
      m_loop.At(aExchange->m_deadline, [this, aExchange] { CheckDeadline(aExchange); });
    return;
  }
  Finish(aExchange, false);
}

void OutgoingCalls::Finish(const std::shared_ptr<Exchange>& aExchange, bool aIsWhole) {
  m_loop.Cancel(std::exchange(aExchange->m_timer, EventLoop::kNoTimer));
  const std::shared_ptr<ClientConnection> connection = std::move(aExchange->m_connection);
  aExchange->m_pool->Release(connection);
  const Time now = m_loop.Now();
  aExchange->m_response.m_transferTime = now - aExchange->m_firstByteAt.value_or(now);
  aExchange->m_response.m_status = aIsWhole ? aExchange->m_response.m_status : 0;
  aExchange->m_onResponse(aExchange->m_response);
}

} // namespace fennelline

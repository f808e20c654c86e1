#pragma once

#include "LibHttp/ConnectionPool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fennelline {

/// What was received of the response to a call.
struct CallResponse {
  /// 0 if no complete response was received in time.
  int m_status = 0;
  HeaderList m_headers;
  std::string m_body;
  /// From the first to the last byte of the body.
  Duration m_transferTime{0};
  /// The body was longer than kMaxResponseBytes and is dropped.
  bool m_isTooLong = false;
};

/// The store lists its keys in pages of about 1 MB and holds values of up to 1 MB, 1.4 MB in
/// base64. A watch may return more if large values changed in quick succession; it is given up
/// then.
constexpr std::size_t kMaxResponseBytes = 4UL * 1024 * 1024;

/// Sends calls to the store and to peers, over keep-alive connections, and collects the responses.
class OutgoingCalls {
public:
  using OnResponse = std::function<void(const CallResponse&)>;
  using OnBegun = std::function<void()>;

  explicit OutgoingCalls(EventLoop& aLoop)
    : m_loop(aLoop) {}
  OutgoingCalls(const OutgoingCalls&) = delete;
  OutgoingCalls& operator=(const OutgoingCalls&) = delete;

  /// A response that has begun within aTimeout may take longer while its bytes keep arriving, so
  /// that a large one is not given up over a narrow link. aOnBegun: called with its first byte.
  void Send(const std::string& aAddress, const std::string& aBytes, Duration aTimeout,
            OnResponse aOnResponse, OnBegun aOnBegun = {});

private:
  struct Exchange {
    OnResponse m_onResponse;
    OnBegun m_onBegun;
    std::shared_ptr<ClientConnection> m_connection;
    ConnectionPool* m_pool = nullptr;
    EventLoop::TimerId m_timer = EventLoop::kNoTimer;
    Time m_deadline{};
    std::optional<Time> m_firstByteAt;
    CallResponse m_response;
  };

  ConnectionPool& PoolOf(const std::string& aAddress);
  void CheckDeadline(const std::shared_ptr<Exchange>& aExchange);
  void OnBody(const std::shared_ptr<Exchange>& aExchange, const std::string& aPart);
  void Finish(const std::shared_ptr<Exchange>& aExchange, bool aIsWhole);

  EventLoop& m_loop;
  std::map<std::string, std::unique_ptr<ConnectionPool>> m_pools;
};

} // namespace fennelline

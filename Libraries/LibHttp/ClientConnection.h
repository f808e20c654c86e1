#pragma once

#include "LibHttp/CallListener.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/StreamSocket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fennelline {

/// What a connection to a server does for its current call.
enum class CallState : std::uint8_t {
  /// No call is under way.
  Idle,
  /// The call's own response has not begun. Interim responses may come before it.
  AwaitingHead,
  /// A response to an earlier call is being received.
  Skipping,
  ReadingBody,
};

/// A client-side HTTP/1.1 connection. It carries one request at a time, without pipelining.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  static Result<std::shared_ptr<ClientConnection>> Connect(EventLoop& aLoop,
                                                           const std::string& aAddress,
                                                           Duration aConnectTimeout,
                                                           const SocketLimits& aLimits);
  ClientConnection(EventLoop& aLoop, std::shared_ptr<StreamSocket> aSocket,
                   const SocketLimits& aLimits);

  /// Sends a complete request. aIsHeadRequest marks a HEAD request, whose response has no body.
  /// aMaxTime: how long the call may take. A server may read a long request as late as that.
  void Send(std::string_view aRequest, bool aIsHeadRequest, CallListener aListener,
            Duration aMaxTime = Duration(0));
  /// Resets the connection. No listener callback runs afterwards.
  void Abort();
  void SetReading(bool aReading) { m_socket->SetReading(aReading); }

  bool IsOpen() const { return m_socket->IsOpen(); }
  /// Whether calls before the current one were made on it. What they left may precede the response.
  bool HasEarlierCalls() const { return m_calls > 1; }
  /// Whether another request may be sent on this connection.
  bool IsReusable() const { return m_reusable && m_state == CallState::Idle && IsOpen(); }
  Time IdleSince() const { return m_idleSince; }
  /// The idle timeout that the server announced in its Keep-Alive header, or zero.
  Duration ServerIdleTimeout() const { return m_serverIdleTimeout; }
  /// Sets the callback for the server accepting the connection.
  void SetOnConnected(std::function<void()> aOnConnected) {
    m_onConnected = std::move(aOnConnected);
  }
  /// Sets the callback for a close while no request is pending.
  void SetOnClosed(std::function<void(CallFailure)> aOnClosed) {
    m_onClosed = std::move(aOnClosed);
  }

private:
  void Start(Duration aConnectTimeout);
  void OnInput();
  void OnEnd(SocketEnd aEnd);
  bool OnHead();
  void FinishCall();
  void Fail(CallFailure aFailure);
  CallFailure FailureAt(SocketEnd aEnd) const;

  EventLoop& m_loop;
  SocketLimits m_limits;
  std::shared_ptr<StreamSocket> m_socket;
  MessageParser m_parser{MessageKind::Response};
  /// Shared, because a callback may end the call while it runs.
  std::shared_ptr<const CallListener> m_listener;
  std::function<void()> m_onConnected;
  std::function<void(CallFailure)> m_onClosed;
  EventLoop::TimerId m_connectTimer = EventLoop::kNoTimer;
  Time m_idleSince{};
  Duration m_serverIdleTimeout{0};
  CallState m_state = CallState::Idle;
  bool m_isHeadRequest = false;
  bool m_reusable = true;
  /// The current request may wait for the server's receive window.
  bool m_waitsForWindow = false;
  std::uint64_t m_calls = 0;
  bool m_sawBytes = false;
  /// Bytes received for the current call before the head of its answer.
  std::size_t m_skippedBytes = 0;
};

} // namespace fennelline

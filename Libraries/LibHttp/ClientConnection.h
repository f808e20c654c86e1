#pragma once

#include "LibBase/NameTable.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/MessageParser.h"
#include "LibHttp/StreamSocket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fennelline {

/// How far a call got before it failed. The order is that of a call's progress.
enum class CallFailure : std::uint8_t {
  /// The connection was not made, or failed before any byte of the request was handed to it.
  NotSent,
  /// The server may have read the request; no answer came.
  NoResponse,
  /// The answer broke off.
  TruncatedResponse,
  /// What came is no answer in the protocol.
  Malformed,
};

constexpr NameTable<CallFailure, 4> kCallFailureNames = {{
  {CallFailure::NotSent, "not-sent"},
  {CallFailure::NoResponse, "no-answer"},
  {CallFailure::TruncatedResponse, "broken-answer"},
  {CallFailure::Malformed, "malformed"},
}};

/// Whether a response is the answer to the call, or a stray one of an earlier call.
enum class HeadAction : std::uint8_t { Take, Skip };

struct CallListener {
  std::function<HeadAction(const MessageHead&)> m_onHead;
  /// Body bytes as they arrive; may be empty-handed between head and end.
  std::function<void(const std::string&)> m_onBody;
  std::function<void()> m_onComplete;
  std::function<void(CallFailure)> m_onFailed;
};

/// One HTTP/1.1 connection to a server. It carries one call at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  static Result<std::shared_ptr<ClientConnection>> Connect(EventLoop& aLoop,
                                                           const std::string& aAddress,
                                                           Duration aConnectTime,
                                                           const SocketLimits& aLimits);
  ClientConnection(EventLoop& aLoop, std::shared_ptr<StreamSocket> aSocket);

  /// Sends a whole request. aIsHead: its answer has no body.
  void Send(std::string_view aRequest, bool aIsHead, CallListener aListener);
  /// Closes the channel. The listener hears no more.
  void Abandon();
  void SetReading(bool aReading) { m_socket->SetReading(aReading); }

  bool IsOpen() const { return m_socket->IsOpen(); }
  /// Whether another call may be sent on it.
  bool IsReusable() const { return m_reusable && !m_busy && IsOpen(); }
  Time IdleSince() const { return m_idleSince; }
  /// How long the server keeps the channel idle, where it says so.
  Duration ServerKeepsIdle() const { return m_serverKeepsIdle; }
  /// Called when the channel has closed while no call was in hand.
  void SetOnClosed(std::function<void()> aOnClosed) { m_onClosed = std::move(aOnClosed); }

private:
  void Start(Duration aConnectTime);
  void OnInput();
  void OnEnd(SocketEnd aEnd);
  bool OnHead();
  void FinishCall();
  void Fail(CallFailure aFailure);
  CallFailure FailureNow() const;

  EventLoop& m_loop;
  std::shared_ptr<StreamSocket> m_socket;
  MessageParser m_parser{MessageKind::Response};
  /// Shared, because a callback may end the call that it is called for.
  std::shared_ptr<const CallListener> m_listener;
  std::function<void()> m_onClosed;
  EventLoop::TimerId m_connectTimer = EventLoop::kNoTimer;
  Time m_idleSince{};
  Duration m_serverKeepsIdle{0};
  bool m_busy = false;
  bool m_isHead = false;
  bool m_reusable = true;
  bool m_sawBytes = false;
  bool m_sawHead = false;
};

} // namespace fennelline

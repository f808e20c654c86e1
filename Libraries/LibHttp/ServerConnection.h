#pragma once

#include "LibHttp/ConnectionState.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/MessageParser.h"
#include "LibHttp/MessageWriter.h"
#include "LibHttp/ServerContext.h"
#include "LibHttp/StreamSocket.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fennelline {

/// A server-side HTTP/1.1 connection. Its requests are handled sequentially. Calls that do not
/// apply in its state, see ConnectionState, have no effect.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(EventLoop& aLoop, std::shared_ptr<ServerContext> aContext,
                   std::shared_ptr<StreamSocket> aSocket);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  void Start();

  /// Sends the complete response to the current request.
  void SendResponse(const ResponseHead& aHead, std::string_view aBody);
  /// Sends a response in parts. Without EndResponse() the client sees it as truncated.
  void BeginResponse(const ResponseHead& aHead);
  void SendBodyPart(std::string_view aPart);
  void EndResponse();
  /// Resets the connection in the middle of the response.
  void Abort();
  /// Sets until when the client of the current request may take to read the response. By default,
  /// one that leaves it unread for longer than SocketLimits::m_unacknowledgedTimeout counts as
  /// gone.
  void SetReadBy(Time aReadBy) { m_readBy = std::max(m_readBy, aReadBy); }

  /// Sets the callback for a client that disconnects while its request is in progress. It is called
  /// at most once.
  void SetOnDisconnected(std::function<void()> aOnDisconnected) {
    m_listener.m_onDisconnected = std::move(aOnDisconnected);
  }
  /// Sets the callback for a request that must be answered at once, since the process ends. It is
  /// called at most once.
  void SetOnGivenUp(std::function<void()> aOnGivenUp) {
    m_listener.m_onGivenUp = std::move(aOnGivenUp);
  }
  /// Sets the callback for an output buffer that has been written completely.
  void SetOnDrained(std::function<void()> aOnDrained) {
    m_listener.m_onDrained = std::move(aOnDrained);
  }
  std::size_t UnsentBytes() const { return m_socket->UnsentBytes(); }
  bool IsOpen() const { return m_socket->IsOpen(); }
  /// Whether a request is in progress or partially received, or a response not yet written.
  bool HasUnfinished() const;
  /// Answers the request now: in progress, by the callback; partially received, with status 503.
  void GiveUp();
  /// Whether no request is in progress or partially received.
  bool IsIdle() const {
    return m_state == ConnectionState::ReadingHead && !m_parser.HasStarted() &&
           m_socket->Input().empty();
  }
  Time IdleSince() const { return m_since; }
  /// Closes the connection if its header or idle timeout has expired.
  void CheckTimeouts(Time aNow);
  void CloseIfIdle();

private:
  /// Callbacks of the current request.
  struct Listener {
    std::function<void()> m_onDisconnected;
    std::function<void()> m_onGivenUp;
    std::function<void()> m_onDrained;
  };

  void OnInput();
  void OnEnd();
  /// Returns whether the event applies in the current state.
  bool Advance(ConnectionEvent aEvent);
  void FeedParser();
  bool AcceptHead();
  bool AcceptBody();
  void TakeRequest();
  /// Responds to what has arrived and closes the connection.
  void Reject(int aStatus, std::string_view aReason);
  std::string WriteHead(const ResponseHead& aHead);
  void WriteResponse(std::string_view aBytes);
  void FinishResponse();
  void CloseUnread(Time aNow);

  EventLoop& m_loop;
  std::shared_ptr<ServerContext> m_context;
  std::shared_ptr<StreamSocket> m_socket;
  MessageParser m_parser{MessageKind::Request};
  Listener m_listener;
  /// When the current request began to arrive, or the connection became idle.
  Time m_since{};
  /// When bytes of the current request last arrived.
  Time m_lastInput{};
  /// The idle timeout in effect when the last response was sent. It still applies if the limit has
  /// been lowered since.
  Duration m_lastIdleTimeout{0};
  /// Until when the client may read what it has not acknowledged; the latest of its requests.
  Time m_readBy{};
  /// For which m_readBy the unacknowledged timeout of the socket was set last.
  Time m_timeoutSetFor{};
  /// Bytes of responses since the client was last known to have acknowledged all.
  std::size_t m_responseBytes = 0;
  BodyReservation m_body;
  ConnectionState m_state = ConnectionState::ReadingHead;
  bool m_hasContinued = false;
  /// The response to the current request closes the connection.
  bool m_closes = false;
  bool m_isHttp10 = false;
};

} // namespace fennelline

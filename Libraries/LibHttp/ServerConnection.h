#pragma once

#include "LibHttp/EventLoop.h"
#include "LibHttp/MessageParser.h"
#include "LibHttp/MessageWriter.h"
#include "LibHttp/StreamSocket.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fennelline {

/// Size limits and timeouts for client connections.
struct ServerLimits {
  std::size_t m_headerBytes = 16UL * 1024;
  std::size_t m_bodyBytes = 4UL * 1024 * 1024;
  /// From the first byte of a request to the end of its headers.
  Duration m_headerTime = Seconds(3);
  /// From the end of a response to the start of the next request.
  Duration m_idleTime = Seconds(15);
};

/// A complete request received from a client.
struct IncomingRequest {
  MessageHead m_head;
  std::string m_body;
  /// When the first byte of the request was read.
  Time m_arrived{};
};

class ServerConnection;

/// Memory for request bodies, which several servers may share.
struct BodyBudget {
  std::size_t m_usedBytes = 0;
  std::size_t m_maxBytes = 32UL * 1024 * 1024;
};

/// State shared by all connections of a server.
struct ServerContext {
  std::function<void(const std::shared_ptr<ServerConnection>&, IncomingRequest)> m_onRequest;
  /// Called with status and reason when a request is rejected before m_onRequest.
  std::function<void(int, std::string_view)> m_onRejected;
  /// Adds headers to the rejection of a request that may come again later.
  std::function<void(HeaderList&)> m_onRejectedForNow;
  ServerLimits m_limits;
  /// A body counts with the length that its request announces, or with what has arrived of it,
  /// until its response has been sent.
  std::shared_ptr<BodyBudget> m_bodies = std::make_shared<BodyBudget>();
  /// Set while the server shuts down: every response closes its connection.
  bool m_closing = false;
};

/// A server-side HTTP/1.1 connection. Its requests are handled sequentially.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(EventLoop& aLoop, std::shared_ptr<ServerContext> aContext,
                   std::shared_ptr<StreamSocket> aSocket);
  ~ServerConnection();
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
  void SetReadBy(Time aReadBy) { m_readBy = aReadBy; }

  /// Sets the callback for a client that disconnects while its request is in progress. It is called
  /// at most once.
  void SetOnDisconnected(std::function<void()> aOnDisconnected) {
    m_onDisconnected = std::move(aOnDisconnected);
  }
  /// Sets the callback for a request that must be answered at once, since the process ends. It is
  /// called at most once.
  void SetOnGivenUp(std::function<void()> aOnGivenUp) { m_onGivenUp = std::move(aOnGivenUp); }
  /// Sets the callback for an output buffer that has been written completely.
  void SetOnDrained(std::function<void()> aOnDrained) { m_onDrained = std::move(aOnDrained); }
  std::size_t UnsentBytes() const { return m_socket->UnsentBytes(); }
  bool IsOpen() const { return m_socket->IsOpen(); }
  /// Whether a request is in progress or partially received, or a response not yet written.
  bool HasUnfinished() const;
  /// Answers the request now: in progress, by the callback; partially received, with status 503.
  void GiveUp();
  /// Whether no request is in progress or partially received.
  bool IsIdle() const { return !m_busy && !m_parser.HasStarted() && m_socket->Input().empty(); }
  Time IdleSince() const { return m_since; }
  /// Closes the connection if its header or idle timeout has expired.
  void CheckTimeouts(Time aNow);
  void CloseIfIdle();

private:
  void OnInput();
  void OnEnd();
  /// Whether the next message may be taken. A connection that closes after a response lingers until
  /// its client has closed it too, and whatever it receives then is discarded.
  bool TakesMessages() const { return !m_busy && !m_closes && m_socket->IsOpen(); }
  bool FeedParser();
  bool IsWithinLimits();
  /// Counts the body of the current request. Returns false if there is no memory left for it.
  bool ReserveBody(std::size_t aBytes);
  void OnHead();
  void TakeRequest();
  void Reject(int aStatus, std::string_view aReason);
  void Release(std::size_t aBytes);
  std::string WriteHead(const ResponseHead& aHead);
  void FinishResponse();
  void WriteResponse(std::string_view aBytes);

  EventLoop& m_loop;
  std::shared_ptr<ServerContext> m_context;
  std::shared_ptr<StreamSocket> m_socket;
  MessageParser m_parser{MessageKind::Request};
  std::function<void()> m_onDisconnected;
  std::function<void()> m_onGivenUp;
  std::function<void()> m_onDrained;
  /// When the current request began to arrive, or the connection became idle.
  Time m_since{};
  /// The idle timeout in effect when the last response was sent. It still applies if the limit has
  /// been lowered since.
  Duration m_lastIdleTimeout{0};
  Time m_readBy{};
  /// Bytes of the current response.
  std::size_t m_responseBytes = 0;
  /// The unacknowledged timeout of the socket is that of the response.
  bool m_waitsForReader = false;
  std::size_t m_headerBytes = 0;
  /// What the current request takes of the budget for bodies.
  std::size_t m_reserved = 0;
  bool m_sawHead = false;
  bool m_busy = false;
  bool m_closes = false;
  bool m_isHttp10 = false;
};

} // namespace fennelline

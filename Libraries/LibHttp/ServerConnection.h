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

/// What a caller may send and how long it may take.
struct ServerLimits {
  std::size_t m_headerBytes = 16UL * 1024;
  std::size_t m_bodyBytes = 4UL * 1024 * 1024;
  /// From the first byte of a request to the end of its headers.
  Duration m_headerTime = Seconds(3);
  /// Between an answer and the next request.
  Duration m_idleTime = Seconds(15);
};

/// A whole request as it was read from a caller.
struct IncomingRequest {
  MessageHead m_head;
  std::string m_body;
  /// When its first byte was read.
  Time m_arrived{};
};

class ServerConnection;

/// What a server's channels have in common. Shared by all of them.
struct ServerContext {
  std::function<void(const std::shared_ptr<ServerConnection>&, IncomingRequest)> m_onRequest;
  /// A request was answered without being handed on: its status and why.
  std::function<void(int, std::string_view)> m_onRejected;
  ServerLimits m_limits;
  /// Bytes of unfinished requests over all channels, and the most of them.
  std::size_t m_bufferedBytes = 0;
  std::size_t m_mostBufferedBytes = 32UL * 1024 * 1024;
  /// Each answer is the last of its connection.
  bool m_closing = false;
};

/// One caller's connection. Requests on it are handled one after the other.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(EventLoop& aLoop, std::shared_ptr<ServerContext> aContext,
                   std::shared_ptr<StreamSocket> aSocket);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  void Start();

  /// Answers the request in hand, whole.
  void Answer(const AnswerHead& aHead, std::string_view aBody);
  /// Answers in parts. Parts of an answer that is not ended look cut off to the caller.
  void BeginResponse(const AnswerHead& aHead);
  void SendBodyPart(std::string_view aPart);
  void EndResponse();
  /// Breaks the answer off.
  void Abort();

  /// Called once if the caller leaves while its request is in hand.
  void SetOnDisconnected(std::function<void()> aOnGone) { m_onGone = std::move(aOnGone); }
  /// Called when all that was sent has left.
  void SetOnDrained(std::function<void()> aOnDrained) { m_onDrained = std::move(aOnDrained); }
  std::size_t UnsentBytes() const { return m_socket->UnsentBytes(); }
  bool IsOpen() const { return m_socket->IsOpen(); }
  bool IsBusy() const { return m_busy; }
  /// No request is in hand and none has begun to arrive.
  bool IsIdle() const { return !m_busy && !m_parser.HasStarted() && m_socket->Input().empty(); }
  Time IdleSince() const { return m_since; }
  /// Closes the connection if a time limit has passed.
  void CheckTime(Time aNow);
  void CloseIfIdle();

private:
  void OnInput();
  void OnEnd();
  bool FeedParser();
  bool IsWithinLimits();
  void OnHead();
  void TakeRequest();
  void Reject(int aStatus, std::string_view aReason);
  void Release(std::size_t aBytes);
  std::string WriteHead(const AnswerHead& aHead);
  void FinishAnswer();

  EventLoop& m_loop;
  std::shared_ptr<ServerContext> m_context;
  std::shared_ptr<StreamSocket> m_socket;
  MessageParser m_parser{MessageKind::Request};
  std::function<void()> m_onGone;
  std::function<void()> m_onDrained;
  /// When the request began to arrive, or the channel became idle.
  Time m_since{};
  /// The idle limit that held when the last answer was sent, if longer than the present one.
  Duration m_promisedIdle{0};
  std::size_t m_headerBytes = 0;
  std::size_t m_buffered = 0;
  bool m_sawHead = false;
  bool m_busy = false;
  bool m_closes = false;
  bool m_raw = false;
};

} // namespace fennelline

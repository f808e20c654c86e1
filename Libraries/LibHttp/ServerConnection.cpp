#include "LibHttp/ServerConnection.h"

#include "LibHttp/RequestHead.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace fennelline {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;

/// Limit for bytes of pipelined requests that are buffered while a request is in progress.
constexpr std::size_t kMaxPipelinedBytes = 64UL * 1024;

/// Responses up to this size fit into the receive window of any client.
constexpr std::size_t kMinWindowBytes = 1024;

/// Idle connections are closed this long after the announced timeout, so that a request sent just
/// before the timeout does not race with the close.
constexpr Duration kIdleSlack = Seconds(1);

} // namespace

ServerConnection::ServerConnection(EventLoop& aLoop, std::shared_ptr<ServerContext> aContext,
                                   std::shared_ptr<StreamSocket> aSocket)
  : m_loop(aLoop)
  , m_context(std::move(aContext))
  , m_socket(std::move(aSocket))
  , m_since(aLoop.Now())
  , m_body(m_context->m_bodies) {}

void ServerConnection::Start() {
  SocketListener listener;
  listener.m_onInput = [self = shared_from_this()] { self->OnInput(); };
  listener.m_onEnd = [self = shared_from_this()](SocketEnd) { self->OnEnd(); };
  listener.m_onDrained = [self = shared_from_this()] {
    // Copied, because the callback may finish the response, which destroys the callback.
    const std::function<void()> onDrained = self->m_listener.m_onDrained;
    if (onDrained) {
      onDrained();
    }
  };
  m_socket->SetListener(std::move(listener));
}

bool ServerConnection::Advance(ConnectionEvent aEvent) {
  const std::optional<ConnectionState> next = NextState(m_state, aEvent);
  m_state = next.value_or(m_state);
  return next.has_value();
}

void ServerConnection::OnEnd() {
  Advance(ConnectionEvent::PeerEnded);
  m_body.Release();
  const Listener listener = std::exchange(m_listener, {});
  if (listener.m_onDisconnected) {
    listener.m_onDisconnected();
  }
}

void ServerConnection::OnInput() {
  // Each turn consumes bytes or leaves the states in which requests are read.
  while (IsReading(m_state) && !m_socket->Input().empty()) {
    FeedParser();
  }
  if (IsBusy(m_state) && m_socket->Input().size() > kMaxPipelinedBytes) {
    m_socket->SetReading(false);
  }
}

void ServerConnection::FeedParser() {
  m_lastInput = m_loop.Now();
  if (m_parser.HeadBytes() == 0) {
    m_since = m_lastInput;
  }
  const Result<std::size_t> taken = m_parser.Feed(m_socket->Input());
  if (taken.IsError()) {
    const bool isTooLong = taken.GetError().m_code == ErrorCode::LimitExceeded;
    Reject(isTooLong ? kHeadersTooLarge : kBadRequest, taken.GetError().m_detail);
    return;
  }
  m_socket->Input().erase(0, taken.Get());
  if (m_state == ConnectionState::ReadingHead && !AcceptHead()) {
    return;
  }
  if (m_state == ConnectionState::ReadingBody && AcceptBody() && m_parser.IsComplete()) {
    TakeRequest();
  }
}

bool ServerConnection::AcceptHead() {
  if (m_parser.HeadBytes() > m_context->m_limits.m_headerBytes) {
    Reject(kHeadersTooLarge, "request headers exceed the size limit");
    return false;
  }
  if (!m_parser.HasHead()) {
    return true;
  }
  if (const std::optional<HeadProblem> problem = FindHeadProblem(m_parser.Head())) {
    Reject(problem->m_status, problem->m_reason);
    return false;
  }
  Advance(ConnectionEvent::HeadComplete);
  return true;
}

bool ServerConnection::AcceptBody() {
  const std::string* length = m_parser.Head().m_headers.Find("content-length");
  const std::size_t announced = length != nullptr ? std::strtoull(length->c_str(), nullptr, 10) : 0;
  const std::size_t body = std::max(announced, m_parser.BodySize());
  if (body > m_context->m_limits.m_bodyBytes) {
    Reject(kContentTooLarge, "request body exceeds the size limit");
    return false;
  }
  if (!m_body.Reserve(body)) {
    Reject(kUnavailable, "memory limit for request bodies reached");
    return false;
  }
  if (announced > 0) {
    // A growing buffer would take up to twice as much.
    m_parser.ReserveBody(announced);
  }
  const std::string* expectation = m_parser.Head().m_headers.Find("expect");
  const bool isExpected = expectation != nullptr && EqualIgnoringCase(*expectation, "100-continue");
  if (isExpected && !m_parser.IsComplete() && !std::exchange(m_hasContinued, true)) {
    m_socket->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

void ServerConnection::TakeRequest() {
  IncomingRequest request;
  request.m_head = std::move(m_parser.Head());
  request.m_body = m_parser.TakeBody();
  request.m_arrived = m_since;
  m_closes = !request.m_head.m_keepAlive;
  m_isHttp10 = request.m_head.m_minorVersion == 0;
  m_parser.Reset();
  m_hasContinued = false;
  if (m_responseBytes > kMinWindowBytes && m_socket->UnacknowledgedBytes() == 0) {
    m_responseBytes = 0;
    m_readBy = Time{};
    if (std::exchange(m_timeoutSetFor, Time{}) != Time{}) {
      m_socket->SetUnacknowledgedTimeout(SocketLimits{}.m_unacknowledgedTimeout);
    }
  }
  Advance(ConnectionEvent::MessageComplete);
  m_context->m_onRequest(shared_from_this(), std::move(request));
}

void ServerConnection::Reject(int aStatus, std::string_view aReason) {
  if (!Advance(ConnectionEvent::Rejected)) {
    return;
  }
  if (m_context->m_onRejected) {
    m_context->m_onRejected(aStatus, aReason);
  }
  m_closes = true;
  // The connection lingers, and its body no longer counts.
  m_parser.TakeBody();
  ResponseHead head{.m_status = aStatus, .m_headers = {}};
  if (aStatus == kUnavailable && m_context->m_onRejectedForNow) {
    m_context->m_onRejectedForNow(head.m_headers);
  }
  std::string text = WriteHead(head);
  AppendHeader(text, "Content-Length", "0");
  m_socket->Write(text + "\r\n");
  m_body.Release();
  m_socket->CloseAfterWriting();
}

std::string ServerConnection::WriteHead(const ResponseHead& aHead) {
  std::string text = StatusLine(aHead.m_status);
  for (const Header& header : aHead.m_headers.Rows()) {
    AppendHeader(text, header.m_name, header.m_value);
  }
  m_closes = m_closes || m_context->m_closing;
  if (m_closes) {
    AppendHeader(text, "Connection", "close");
  }
  return text;
}

void ServerConnection::SendResponse(const ResponseHead& aHead, std::string_view aBody) {
  if (m_state != ConnectionState::InProgress) {
    return;
  }
  std::string text = WriteHead(aHead);
  AppendHeader(text, "Content-Length", std::to_string(aBody.size()));
  text += "\r\n";
  text += aBody;
  WriteResponse(text);
  FinishResponse();
}

void ServerConnection::BeginResponse(const ResponseHead& aHead) {
  if (!Advance(ConnectionEvent::AnswerBegun)) {
    return;
  }
  m_closes = m_closes || m_isHttp10;
  m_socket->SetResetOnEnd(m_isHttp10);
  std::string text = WriteHead(aHead);
  if (!m_isHttp10) {
    AppendHeader(text, "Transfer-Encoding", "chunked");
  }
  text += "\r\n";
  WriteResponse(text);
}

void ServerConnection::WriteResponse(std::string_view aBytes) {
  m_responseBytes += aBytes.size();
  const Duration left = m_readBy - m_loop.Now();
  if (m_responseBytes > kMinWindowBytes && m_readBy > m_timeoutSetFor &&
      left > SocketLimits{}.m_unacknowledgedTimeout) {
    m_timeoutSetFor = m_readBy;
    m_socket->SetUnacknowledgedTimeout(left);
  }
  m_socket->Write(aBytes);
}

void ServerConnection::SendBodyPart(std::string_view aPart) {
  if (m_state != ConnectionState::Answering) {
    return;
  }
  if (m_isHttp10) {
    WriteResponse(aPart);
    return;
  }
  std::string chunk;
  AppendChunk(chunk, aPart);
  WriteResponse(chunk);
}

void ServerConnection::EndResponse() {
  if (m_state != ConnectionState::Answering) {
    return;
  }
  if (!m_isHttp10) {
    m_socket->Write(kLastChunk);
  }
  FinishResponse();
}

void ServerConnection::Abort() {
  Advance(ConnectionEvent::Aborted);
  m_listener = {};
  m_body.Release();
  m_socket->Reset();
}

void ServerConnection::FinishResponse() {
  Advance(m_closes ? ConnectionEvent::AnswerEndedClosing : ConnectionEvent::AnswerEnded);
  m_listener = {};
  m_socket->SetResetOnEnd(false);
  m_body.Release();
  m_since = m_loop.Now();
  m_lastIdleTimeout = m_context->m_limits.m_idleTime;
  if (m_closes) {
    m_socket->CloseAfterWriting(m_readBy);
    return;
  }
  m_socket->SetReading(true);
  if (!m_socket->Input().empty()) {
    m_loop.Post([self = shared_from_this()] { self->OnInput(); });
  }
}

void ServerConnection::CloseUnread(Time aNow) {
  const Time readBy = std::max(m_readBy, m_since + SocketLimits{}.m_unacknowledgedTimeout);
  if (m_readBy != Time{} && aNow >= readBy && m_socket->UnsentBytes() > 0) {
    Abort();
  }
}

void ServerConnection::CheckTimeouts(Time aNow) {
  if (!m_socket->IsOpen() || IsBusy(m_state)) {
    return;
  }
  CloseUnread(aNow);
  const ServerLimits& limits = m_context->m_limits;
  const Duration idleTime = std::max(m_lastIdleTimeout, limits.m_idleTime) + kIdleSlack;
  const bool isReadingHead = m_state == ConnectionState::ReadingHead && m_parser.HasStarted();
  if (isReadingHead && aNow - m_since > limits.m_headerTime) {
    Reject(kRequestTimeout, "timed out while reading request headers");
  } else if (m_state == ConnectionState::ReadingBody && aNow - m_lastInput > idleTime) {
    Reject(kRequestTimeout, "timed out while reading a request body");
  } else if (IsIdle() && aNow - m_since > idleTime && Advance(ConnectionEvent::IdleTimeout)) {
    m_socket->CloseAfterWriting();
  }
}

bool ServerConnection::HasUnfinished() const {
  const bool isReceiving = IsReading(m_state) && !IsIdle();
  return IsOpen() && (IsBusy(m_state) || isReceiving || m_socket->UnacknowledgedBytes() > 0);
}

void ServerConnection::GiveUp() {
  if (IsBusy(m_state)) {
    const std::function<void()> onGivenUp = std::exchange(m_listener.m_onGivenUp, {});
    if (onGivenUp) {
      onGivenUp();
    }
  } else if (!IsIdle()) {
    Reject(kUnavailable, "stopping");
  }
}

void ServerConnection::CloseIfIdle() {
  if (IsIdle() && Advance(ConnectionEvent::IdleTimeout)) {
    m_socket->CloseAfterWriting();
  }
}

} // namespace fennelline

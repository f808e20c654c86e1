#include "LibHttp/ServerConnection.h"

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

/// Returns why a request head is invalid, or an empty string if it is valid.
std::string_view FindHeadProblem(const MessageHead& aHead) {
  if (!aHead.m_target.starts_with('/')) {
    return "request target is not an absolute path";
  }
  if (aHead.m_headers.Count("host") != 1) {
    return "request must have exactly one Host header";
  }
  const std::string* coding = aHead.m_headers.Find("transfer-encoding");
  if (coding != nullptr &&
      (!EqualIgnoringCase(*coding, "chunked") || aHead.m_headers.Count("transfer-encoding") != 1 ||
       aHead.m_headers.Count("content-length") != 0)) {
    return "ambiguous or unsupported message framing";
  }
  if (aHead.m_headers.Count("content-length") > 1) {
    return "more than one Content-Length header";
  }
  return {};
}

} // namespace

ServerConnection::ServerConnection(EventLoop& aLoop, std::shared_ptr<ServerContext> aContext,
                                   std::shared_ptr<StreamSocket> aSocket)
  : m_loop(aLoop)
  , m_context(std::move(aContext))
  , m_socket(std::move(aSocket))
  , m_since(aLoop.Now()) {}

ServerConnection::~ServerConnection() {
  Release(m_reserved);
}

void ServerConnection::Start() {
  SocketListener listener;
  listener.m_onInput = [self = shared_from_this()] { self->OnInput(); };
  listener.m_onEnd = [self = shared_from_this()](SocketEnd) { self->OnEnd(); };
  listener.m_onDrained = [self = shared_from_this()] {
    // Copied, because the callback may finish the response, which destroys the callback.
    const std::function<void()> onDrained = self->m_onDrained;
    if (onDrained) {
      onDrained();
    }
  };
  m_socket->SetListener(std::move(listener));
}

void ServerConnection::Release(std::size_t aBytes) {
  m_context->m_bodies->m_usedBytes -= aBytes;
  m_reserved -= aBytes;
}

void ServerConnection::OnEnd() {
  Release(m_reserved);
  const std::function<void()> onDisconnected = std::exchange(m_onDisconnected, {});
  m_onGivenUp = {};
  m_onDrained = {};
  m_busy = false;
  if (onDisconnected) {
    onDisconnected();
  }
}

void ServerConnection::OnInput() {
  while (TakesMessages() && !m_socket->Input().empty()) {
    if (!FeedParser()) {
      return;
    }
  }
  if (m_busy && m_socket->Input().size() > kMaxPipelinedBytes) {
    m_socket->SetReading(false);
  }
}

bool ServerConnection::FeedParser() {
  if (!m_parser.HasStarted()) {
    m_since = m_loop.Now();
  }
  const bool hadHead = m_parser.HasHead();
  const Result<std::size_t> taken = m_parser.Feed(m_socket->Input());
  if (taken.IsError()) {
    const bool isTooLong = taken.GetError().m_code == ErrorCode::LimitExceeded;
    Reject(isTooLong ? kHeadersTooLarge : kBadRequest, taken.GetError().m_detail);
    return false;
  }
  m_socket->Input().erase(0, taken.Get());
  m_headerBytes += hadHead ? 0 : taken.Get() - m_parser.BodySize();
  if (!IsWithinLimits()) {
    return false;
  }
  if (m_parser.HasHead() && !std::exchange(m_sawHead, m_parser.HasHead())) {
    OnHead();
  }
  if (m_socket->IsOpen() && m_parser.IsComplete()) {
    TakeRequest();
  }
  return true;
}

bool ServerConnection::IsWithinLimits() {
  const ServerLimits& limits = m_context->m_limits;
  if (m_headerBytes > limits.m_headerBytes) {
    Reject(kHeadersTooLarge, "request headers exceed the size limit");
    return false;
  }
  const std::string* length = m_parser.Head().m_headers.Find("content-length");
  const std::size_t announced =
    m_parser.HasHead() && length != nullptr ? std::strtoull(length->c_str(), nullptr, 10) : 0;
  const std::size_t body = std::max(announced, m_parser.BodySize());
  if (body > limits.m_bodyBytes) {
    Reject(kContentTooLarge, "request body exceeds the size limit");
    return false;
  }
  if (!ReserveBody(body)) {
    Reject(kUnavailable, "memory limit for request bodies reached");
    return false;
  }
  if (announced > 0) {
    // A growing buffer would take up to twice as much.
    m_parser.ReserveBody(announced);
  }
  return true;
}

bool ServerConnection::ReserveBody(std::size_t aBytes) {
  BodyBudget& bodies = *m_context->m_bodies;
  const std::size_t more = aBytes - std::min(aBytes, m_reserved);
  if (bodies.m_usedBytes + more > bodies.m_maxBytes) {
    return false;
  }
  bodies.m_usedBytes += more;
  m_reserved += more;
  return true;
}

void ServerConnection::OnHead() {
  const std::string* expectation = m_parser.Head().m_headers.Find("expect");
  if (!m_parser.IsComplete() && expectation != nullptr &&
      EqualIgnoringCase(*expectation, "100-continue")) {
    m_socket->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::TakeRequest() {
  const std::string_view problem = FindHeadProblem(m_parser.Head());
  if (!problem.empty()) {
    Reject(kBadRequest, problem);
    return;
  }
  IncomingRequest request;
  request.m_head = std::move(m_parser.Head());
  request.m_body = m_parser.TakeBody();
  request.m_arrived = m_since;
  m_busy = true;
  m_closes = !request.m_head.m_keepAlive;
  m_isHttp10 = request.m_head.m_minorVersion == 0;
  m_parser.Reset();
  m_sawHead = false;
  m_headerBytes = 0;
  m_readBy = Time{};
  m_responseBytes = 0;
  if (std::exchange(m_waitsForReader, false)) {
    m_socket->SetUnacknowledgedTimeout(SocketLimits{}.m_unacknowledgedTimeout);
  }
  m_context->m_onRequest(shared_from_this(), std::move(request));
}

void ServerConnection::Reject(int aStatus, std::string_view aReason) {
  if (m_context->m_onRejected) {
    m_context->m_onRejected(aStatus, aReason);
  }
  m_busy = true;
  m_closes = true;
  // The connection may linger, and its body no longer counts.
  m_parser.TakeBody();
  ResponseHead head{.m_status = aStatus, .m_headers = {}};
  if (aStatus == kUnavailable && m_context->m_onRejectedForNow) {
    m_context->m_onRejectedForNow(head.m_headers);
  }
  SendResponse(head, {});
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
  if (!m_busy || !m_socket->IsOpen()) {
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
  if (!m_busy || !m_socket->IsOpen()) {
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
  if (!m_waitsForReader && m_responseBytes > kMinWindowBytes &&
      left > SocketLimits{}.m_unacknowledgedTimeout) {
    m_waitsForReader = true;
    m_socket->SetUnacknowledgedTimeout(left);
  }
  m_socket->Write(aBytes);
}

void ServerConnection::SendBodyPart(std::string_view aPart) {
  if (m_isHttp10) {
    WriteResponse(aPart);
    return;
  }
  std::string chunk;
  AppendChunk(chunk, aPart);
  WriteResponse(chunk);
}

void ServerConnection::EndResponse() {
  if (!m_busy || !m_socket->IsOpen()) {
    return;
  }
  if (!m_isHttp10) {
    m_socket->Write(kLastChunk);
  }
  FinishResponse();
}

void ServerConnection::Abort() {
  m_onDisconnected = {};
  m_onGivenUp = {};
  m_onDrained = {};
  m_busy = false;
  Release(m_reserved);
  m_socket->Reset();
}

void ServerConnection::FinishResponse() {
  m_onDisconnected = {};
  m_onGivenUp = {};
  m_onDrained = {};
  m_busy = false;
  m_socket->SetResetOnEnd(false);
  Release(m_reserved);
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

void ServerConnection::CheckTimeouts(Time aNow) {
  const Time readBy = std::max(m_readBy, m_since + SocketLimits{}.m_unacknowledgedTimeout);
  if (m_readBy != Time{} && !m_busy && aNow >= readBy && m_socket->UnsentBytes() > 0) {
    m_socket->Reset();
    return;
  }
  if (!TakesMessages()) {
    return;
  }
  const bool isReadingHead = m_parser.HasStarted() && !m_parser.HasHead();
  if (isReadingHead && aNow - m_since > m_context->m_limits.m_headerTime) {
    Reject(kRequestTimeout, "timed out while reading request headers");
    return;
  }
  const Duration idleTime =
    std::max(m_lastIdleTimeout, m_context->m_limits.m_idleTime) + kIdleSlack;
  if (IsIdle() && aNow - m_since > idleTime) {
    m_socket->CloseAfterWriting();
  }
}

bool ServerConnection::HasUnfinished() const {
  const bool isReceiving = !m_closes && !IsIdle();
  return IsOpen() && (m_busy || isReceiving || m_socket->UnacknowledgedBytes() > 0);
}

void ServerConnection::GiveUp() {
  if (m_busy) {
    const std::function<void()> onGivenUp = std::exchange(m_onGivenUp, {});
    if (onGivenUp) {
      onGivenUp();
    }
  } else if (IsOpen() && !m_closes && !IsIdle()) {
    Reject(kUnavailable, "stopping");
  }
}

void ServerConnection::CloseIfIdle() {
  if (IsIdle() && m_socket->IsOpen()) {
    m_socket->CloseAfterWriting();
  }
}

} // namespace fennelline

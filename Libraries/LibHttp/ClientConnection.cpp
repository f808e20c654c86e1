#include "LibHttp/ClientConnection.h"

#include <charconv>
#include <utility>

namespace fennelline {

namespace {

constexpr int kFirstFinalStatus = 200;

/// More bytes before the head of an answer, of interim responses and of answers to earlier calls,
/// are no answer.
constexpr std::size_t kMaxSkippedBytes = 1024UL * 1024;

/// Shorter requests fit into the receive window of any server, so what stays unacknowledged was not
/// received.
constexpr std::size_t kLongRequestBytes = 16UL * 1024;

/// Returns the "timeout" parameter (whole seconds) of the Keep-Alive header, or zero if absent.
Duration ParseKeepAlive(const HeaderList& aHeaders) {
  const std::string* value = aHeaders.Find("keep-alive");
  constexpr std::string_view kParameter = "timeout=";
  const std::size_t position = value == nullptr ? std::string::npos : value->find(kParameter);
  if (position == std::string::npos) {
    return Duration(0);
  }
  int seconds = 0;
  std::from_chars(value->data() + position + kParameter.size(), value->data() + value->size(),
                  seconds);
  return Seconds(seconds);
}

} // namespace

ClientConnection::ClientConnection(EventLoop& aLoop, std::shared_ptr<StreamSocket> aSocket,
                                   const SocketLimits& aLimits)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_socket(std::move(aSocket))
  , m_idleSince(aLoop.Now()) {}

Result<std::shared_ptr<ClientConnection>> ClientConnection::Connect(EventLoop& aLoop,
                                                                    const std::string& aAddress,
                                                                    Duration aConnectTimeout,
                                                                    const SocketLimits& aLimits) {
  std::shared_ptr<StreamSocket> socket = TRY(StreamSocket::Connect(aLoop, aAddress, aLimits));
  std::shared_ptr<ClientConnection> connection =
    std::make_shared<ClientConnection>(aLoop, std::move(socket), aLimits);
  connection->Start(aConnectTimeout);
  return connection;
}

void ClientConnection::Start(Duration aConnectTimeout) {
  SocketListener listener;
  listener.m_onConnected = [self = shared_from_this()] {
    self->m_loop.Cancel(std::exchange(self->m_connectTimer, EventLoop::kNoTimer));
    const std::function<void()> onConnected = std::exchange(self->m_onConnected, {});
    if (onConnected) {
      onConnected();
    }
  };
  listener.m_onInput = [self = shared_from_this()] { self->OnInput(); };
  listener.m_onEnd = [self = shared_from_this()](SocketEnd aEnd) { self->OnEnd(aEnd); };
  m_socket->SetListener(std::move(listener));
  m_connectTimer = m_loop.After(aConnectTimeout, [self = shared_from_this()] {
    self->m_connectTimer = EventLoop::kNoTimer;
    self->Fail(CallFailure::NotSent);
  });
}

void ClientConnection::Send(std::string_view aRequest, bool aIsHeadRequest, CallListener aListener,
                            Duration aMaxTime) {
  const bool mayWaitForWindow =
    aRequest.size() > kLongRequestBytes && aMaxTime > m_limits.m_unacknowledgedTimeout;
  if (mayWaitForWindow || m_waitsForWindow) {
    m_socket->SetUnacknowledgedTimeout(mayWaitForWindow ? aMaxTime
                                                        : m_limits.m_unacknowledgedTimeout);
  }
  m_waitsForWindow = mayWaitForWindow;
  m_listener = std::make_shared<const CallListener>(std::move(aListener));
  m_state = CallState::AwaitingHead;
  ++m_calls;
  m_isHeadRequest = aIsHeadRequest;
  m_sawBytes = false;
  m_skippedBytes = 0;
  m_parser.Reset();
  if (aIsHeadRequest) {
    m_parser.ExpectNoBody();
  }
  m_socket->Write(aRequest);
}

void ClientConnection::Abort() {
  m_loop.Cancel(std::exchange(m_connectTimer, EventLoop::kNoTimer));
  m_state = CallState::Idle;
  m_listener.reset();
  m_onConnected = {};
  m_onClosed = {};
  m_socket->Reset();
}

CallFailure ClientConnection::FailureAt(SocketEnd aEnd) const {
  if (aEnd == SocketEnd::Refused) {
    return CallFailure::Refused;
  }
  if (!m_socket->HasSent()) {
    return CallFailure::NotSent;
  }
  return m_sawBytes ? CallFailure::TruncatedResponse : CallFailure::NoResponse;
}

void ClientConnection::Fail(CallFailure aFailure) {
  const bool wasBusy = m_state != CallState::Idle;
  const std::shared_ptr<const CallListener> listener = m_listener;
  const std::function<void(CallFailure)> onClosed = std::move(m_onClosed);
  Abort();
  if (wasBusy) {
    listener->m_onFailed(aFailure);
  } else if (onClosed) {
    onClosed(aFailure);
  }
}

void ClientConnection::OnEnd(SocketEnd aEnd) {
  // A server that is killed before it has received the whole request may also close in an orderly
  // way, so the end of the connection only ends a response to a request that was written.
  const bool mayEndResponse = aEnd == SocketEnd::Closed && m_socket->UnsentBytes() == 0;
  const bool isComplete = m_state == CallState::ReadingBody && mayEndResponse &&
                          m_parser.Head().m_bodyEndsAtClose && m_parser.FinishAtClose();
  if (isComplete) {
    m_reusable = false;
    FinishCall();
    return;
  }
  Fail(FailureAt(aEnd));
}

void ClientConnection::OnInput() {
  const std::shared_ptr<ClientConnection> self = shared_from_this();
  const std::shared_ptr<const CallListener> listener = m_listener;
  if (m_state == CallState::Idle) {
    // The server sent bytes without a pending request.
    Fail(CallFailure::Malformed);
    return;
  }
  while (m_state != CallState::Idle && IsOpen() && !m_socket->Input().empty()) {
    m_sawBytes = true;
    const Result<std::size_t> taken = m_parser.Feed(m_socket->Input());
    if (taken.IsError()) {
      Fail(CallFailure::Malformed);
      return;
    }
    m_socket->Input().erase(0, taken.Get());
    m_skippedBytes += m_state == CallState::ReadingBody ? 0 : taken.Get();
    if (m_skippedBytes > kMaxSkippedBytes) {
      Fail(CallFailure::Malformed);
      return;
    }
    if (m_parser.HasHead() && m_state != CallState::ReadingBody && !OnHead()) {
      continue;
    }
    if (m_state == CallState::ReadingBody && m_parser.BodySize() > 0) {
      listener->m_onBody(m_parser.TakeBody());
    }
    if (m_state == CallState::ReadingBody && m_parser.IsComplete()) {
      FinishCall();
      return;
    }
  }
}

bool ClientConnection::OnHead() {
  const bool isInterim = m_parser.Head().m_status < kFirstFinalStatus;
  if (!isInterim && m_state != CallState::Skipping) {
    m_state = CallState::ReadingBody;
    if (m_listener->m_onHead(m_parser.Head()) == HeadAction::Accept) {
      return true;
    }
    if (m_state == CallState::Idle) {
      return false;
    }
    // The response to this call may still follow, but requests and responses on this connection
    // no longer match up, so it must not be reused.
    m_reusable = false;
    m_state = CallState::Skipping;
  }
  if (!m_parser.IsComplete()) {
    // Discard the remainder of the skipped message.
    m_parser.TakeBody();
    return false;
  }
  m_state = CallState::AwaitingHead;
  m_parser.Reset();
  if (m_isHeadRequest) {
    m_parser.ExpectNoBody();
  }
  return false;
}

void ClientConnection::FinishCall() {
  const bool isSynchronized = m_socket->Input().empty() && m_socket->UnsentBytes() == 0;
  m_reusable = m_reusable && isSynchronized && m_parser.Head().m_keepAlive && m_socket->IsOpen();
  m_serverIdleTimeout = ParseKeepAlive(m_parser.Head().m_headers);
  m_state = CallState::Idle;
  m_onConnected = {};
  m_idleSince = m_loop.Now();
  const std::shared_ptr<const CallListener> listener = std::move(m_listener);
  if (m_reusable) {
    // The call may have paused reading for a slow consumer of its response.
    SetReading(true);
  } else {
    Abort();
  }
  listener->m_onComplete();
}

} // namespace fennelline

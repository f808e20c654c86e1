#include "LibHttp/ClientConnection.h"

#include <charconv>
#include <utility>

namespace fennelline {

namespace {

constexpr int kFirstFinalStatus = 200;

/// The "timeout" parameter of a Keep-Alive header, in whole seconds; zero where there is none.
Duration ParseKeepAlive(const HeaderList& aHeaders) {
  const std::string* value = aHeaders.Find("keep-alive");
  constexpr std::string_view kParameter = "timeout=";
  const std::size_t place = value == nullptr ? std::string::npos : value->find(kParameter);
  if (place == std::string::npos) {
    return Duration(0);
  }
  int seconds = 0;
  std::from_chars(value->data() + place + kParameter.size(), value->data() + value->size(),
                  seconds);
  return Seconds(seconds);
}

} // namespace

ClientConnection::ClientConnection(EventLoop& aLoop, std::shared_ptr<StreamSocket> aSocket)
  : m_loop(aLoop)
  , m_socket(std::move(aSocket))
  , m_idleSince(aLoop.Now()) {}

Result<std::shared_ptr<ClientConnection>> ClientConnection::Connect(EventLoop& aLoop,
                                                                    const std::string& aAddress,
                                                                    Duration aConnectTime,
                                                                    const SocketLimits& aLimits) {
  std::shared_ptr<StreamSocket> socket = TRY(StreamSocket::Connect(aLoop, aAddress, aLimits));
  std::shared_ptr<ClientConnection> channel =
    std::make_shared<ClientConnection>(aLoop, std::move(socket));
  channel->Start(aConnectTime);
  return channel;
}

void ClientConnection::Start(Duration aConnectTime) {
  SocketListener listener;
  listener.m_onConnected = [self = shared_from_this()] {
    self->m_loop.Cancel(std::exchange(self->m_connectTimer, EventLoop::kNoTimer));
  };
  listener.m_onInput = [self = shared_from_this()] { self->OnInput(); };
  listener.m_onEnd = [self = shared_from_this()](SocketEnd aEnd) { self->OnEnd(aEnd); };
  m_socket->SetListener(std::move(listener));
  m_connectTimer = m_loop.After(aConnectTime, [self = shared_from_this()] {
    self->m_connectTimer = EventLoop::kNoTimer;
    self->Fail(CallFailure::NotSent);
  });
}

void ClientConnection::Send(std::string_view aRequest, bool aIsHead, CallListener aListener) {
  m_listener = std::make_shared<const CallListener>(std::move(aListener));
  m_busy = true;
  m_isHead = aIsHead;
  m_sawBytes = false;
  m_sawHead = false;
  m_parser.Reset();
  if (aIsHead) {
    m_parser.ExpectNoBody();
  }
  m_socket->Write(aRequest);
}

void ClientConnection::Abandon() {
  m_loop.Cancel(std::exchange(m_connectTimer, EventLoop::kNoTimer));
  m_busy = false;
  m_listener.reset();
  m_onClosed = {};
  m_socket->Reset();
}

CallFailure ClientConnection::FailureNow() const {
  if (!m_socket->HasSent()) {
    return CallFailure::NotSent;
  }
  return m_sawBytes ? CallFailure::TruncatedResponse : CallFailure::NoResponse;
}

void ClientConnection::Fail(CallFailure aFailure) {
  const bool wasBusy = std::exchange(m_busy, false);
  const std::shared_ptr<const CallListener> listener = m_listener;
  const std::function<void()> onClosed = std::move(m_onClosed);
  Abandon();
  if (wasBusy) {
    listener->m_onFailed(aFailure);
  } else if (!wasBusy && onClosed) {
    onClosed();
  }
}

void ClientConnection::OnEnd(SocketEnd aEnd) {
  const bool isWhole = m_busy && m_sawHead && aEnd == SocketEnd::Closed &&
                       m_parser.Head().m_endsWithConnection && m_parser.FinishAtEnd();
  if (isWhole) {
    m_reusable = false;
    FinishCall();
    return;
  }
  Fail(FailureNow());
}

void ClientConnection::OnInput() {
  const std::shared_ptr<ClientConnection> self = shared_from_this();
  const std::shared_ptr<const CallListener> listener = m_listener;
  if (!m_busy) {
    // Nothing was asked: whatever this is, it belongs to no call.
    Fail(CallFailure::Malformed);
    return;
  }
  while (m_busy && IsOpen() && !m_socket->Input().empty()) {
    m_sawBytes = true;
    const Result<std::size_t> taken = m_parser.Feed(m_socket->Input());
    if (taken.IsError()) {
      Fail(CallFailure::Malformed);
      return;
    }
    m_socket->Input().erase(0, taken.Get());
    if (m_parser.HasHead() && !m_sawHead && !OnHead()) {
      continue;
    }
    if (!m_busy) {
      return;
    }
    if (m_sawHead && m_parser.BodySize() > 0) {
      listener->m_onBody(m_parser.TakeBody());
    }
    if (m_busy && m_parser.IsComplete()) {
      FinishCall();
      return;
    }
  }
}

bool ClientConnection::OnHead() {
  const bool isInterim = m_parser.Head().m_status < kFirstFinalStatus;
  if (!isInterim) {
    m_sawHead = true;
    if (m_listener->m_onHead(m_parser.Head()) == HeadAction::Accept) {
      return true;
    }
    if (!m_busy) {
      return false;
    }
    // The call's own answer may still follow, but this channel is out of step from now on.
    m_reusable = false;
    m_sawHead = false;
  }
  if (!m_parser.IsComplete()) {
    // The rest of a message that is passed over.
    m_parser.TakeBody();
    return false;
  }
  m_parser.Reset();
  if (m_isHead) {
    m_parser.ExpectNoBody();
  }
  return false;
}

void ClientConnection::FinishCall() {
  const bool inStep = m_socket->Input().empty() && m_socket->UnsentBytes() == 0;
  m_reusable = m_reusable && inStep && m_parser.Head().m_keepAlive && m_socket->IsOpen();
  m_serverKeepsIdle = ParseKeepAlive(m_parser.Head().m_headers);
  m_busy = false;
  m_idleSince = m_loop.Now();
  const std::shared_ptr<const CallListener> listener = std::move(m_listener);
  if (!m_reusable) {
    Abandon();
  }
  listener->m_onComplete();
}

} // namespace fennelline

#include "LibHttp/StreamSocket.h"

#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace fennelline {

namespace {

/// Size of one read, sufficient for stream events and most requests.
constexpr std::size_t kReadBytes = 32UL * 1024;

/// How long a closing connection waits for the peer to close as well, once everything is written. A
/// peer that does not read ends it earlier, see SocketLimits::m_unacknowledgedTimeout.
constexpr Duration kLingerTimeout = Seconds(1);

void SetOption(int aDescriptor, int aLevel, int aOption, int aValue) {
  setsockopt(aDescriptor, aLevel, aOption, &aValue, sizeof(aValue));
}

void ApplyLimits(int aDescriptor, const SocketLimits& aLimits) {
  SetOption(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, aLimits.m_keepAliveSeconds);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPCNT, aLimits.m_keepAliveProbes);
  SetOption(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(InMilliseconds(aLimits.m_unacknowledgedTimeout)));
}

} // namespace

StreamSocket::StreamSocket(EventLoop& aLoop, FileDescriptor aDescriptor, bool aConnecting)
  : m_loop(aLoop)
  , m_descriptor(std::move(aDescriptor))
  , m_connecting(aConnecting)
  , m_wantsWriting(aConnecting) {}

std::shared_ptr<StreamSocket> StreamSocket::Adopt(EventLoop& aLoop, FileDescriptor aDescriptor,
                                                  const SocketLimits& aLimits) {
  ApplyLimits(aDescriptor.Number(), aLimits);
  std::shared_ptr<StreamSocket> socket =
    std::make_shared<StreamSocket>(aLoop, std::move(aDescriptor), false);
  socket->Start();
  return socket;
}

Result<std::shared_ptr<StreamSocket>> StreamSocket::Connect(EventLoop& aLoop,
                                                            const std::string& aAddress,
                                                            const SocketLimits& aLimits) {
  FileDescriptor descriptor = TRY(ConnectStream(aAddress));
  ApplyLimits(descriptor.Number(), aLimits);
  std::shared_ptr<StreamSocket> socket =
    std::make_shared<StreamSocket>(aLoop, std::move(descriptor), true);
  socket->Start();
  return socket;
}

void StreamSocket::SetUnacknowledgedTimeout(Duration aTimeout) {
  if (IsOpen()) {
    SetOption(m_descriptor.Number(), IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(InMilliseconds(aTimeout)));
  }
}

void StreamSocket::Start() {
  m_watch =
    m_loop.Watch(m_descriptor.Number(), [self = shared_from_this()](const Readiness& aReadiness) {
      self->OnReady(aReadiness);
    });
  if (m_wantsWriting) {
    UpdateInterest();
  }
}

void StreamSocket::Notify(std::function<void()> SocketListener::*aCallback) {
  const std::shared_ptr<const SocketListener> listener = m_listener;
  ((*listener).*aCallback)();
}

void StreamSocket::UpdateInterest() {
  m_loop.SetInterest(m_watch, m_reading, m_wantsWriting);
}

void StreamSocket::SetReading(bool aReading) {
  if (IsOpen() && m_reading != aReading) {
    m_reading = aReading;
    UpdateInterest();
  }
}

void StreamSocket::OnReady(const Readiness& aReadiness) {
  if (m_connecting && (aReadiness.m_writable || aReadiness.m_hungUp)) {
    FinishConnecting();
  }
  if (IsOpen() && aReadiness.m_writable) {
    Flush();
  }
  // The poller reports a hang-up repeatedly, so it is handled even while reading is paused.
  if (IsOpen() && ((m_reading && aReadiness.m_readable) || aReadiness.m_hungUp)) {
    ReadAvailable();
  }
}

void StreamSocket::FinishConnecting() {
  int problem = 0;
  socklen_t length = sizeof(problem);
  getsockopt(m_descriptor.Number(), SOL_SOCKET, SO_ERROR, &problem, &length);
  if (problem != 0) {
    End(problem == ECONNREFUSED ? SocketEnd::Refused : SocketEnd::Failed);
    return;
  }
  m_connecting = false;
  if (m_listener->m_onConnected) {
    Notify(&SocketListener::m_onConnected);
  }
}

void StreamSocket::ReadAvailable() {
  std::array<char, kReadBytes> buffer;
  const ssize_t count = ::recv(m_descriptor.Number(), buffer.data(), buffer.size(), 0);
  if (count > 0) {
    if (m_lingering) {
      return;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    if (m_listener->m_onInput) {
      Notify(&SocketListener::m_onInput);
    }
    return;
  }
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  const bool isOrderly = count == 0 && !m_hasFailed;
  End(isOrderly ? SocketEnd::Closed : SocketEnd::Failed);
}

void StreamSocket::Write(std::string_view aBytes) {
  if (!IsOpen() || m_shutdownAfterWriting || m_hasFailed) {
    return;
  }
  m_output.append(aBytes);
  if (!m_connecting && !m_wantsWriting) {
    Flush();
  }
}

void StreamSocket::Flush() {
  std::size_t done = 0;
  while (done < m_output.size()) {
    const ssize_t count =
      ::send(m_descriptor.Number(), m_output.data() + done, m_output.size() - done, MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) {
        continue;
      }
      // The error is taken from the socket with this, so the next read would report an orderly end.
      m_hasFailed = errno != EAGAIN && errno != EWOULDBLOCK;
      break;
    }
    done += static_cast<std::size_t>(count);
    m_sent = true;
  }
  m_output.erase(0, done);
  const bool wantsWriting = !m_output.empty() && !m_hasFailed;
  if (wantsWriting != m_wantsWriting) {
    m_wantsWriting = wantsWriting;
    UpdateInterest();
  }
  if (!m_output.empty()) {
    return;
  }
  if (m_shutdownAfterWriting) {
    ::shutdown(m_descriptor.Number(), SHUT_WR);
    Linger();
  } else if (done > 0 && m_listener->m_onDrained) {
    Notify(&SocketListener::m_onDrained);
  }
}

void StreamSocket::Linger() {
  m_loop.After(kLingerTimeout, [self = shared_from_this()] {
    if (self->IsOpen() && self->m_loop.Now() < self->m_readBy && self->UnacknowledgedBytes() > 0) {
      self->Linger();
    } else {
      self->Close();
    }
  });
}

std::size_t StreamSocket::UnacknowledgedBytes() const {
  int queued = 0;
  // What the system cannot tell counts as acknowledged.
  if (!IsOpen() || ::ioctl(m_descriptor.Number(), SIOCOUTQ, &queued) != 0) {
    queued = 0;
  }
  return m_output.size() + static_cast<std::size_t>(queued);
}

void StreamSocket::End(SocketEnd aEnd) {
  const std::shared_ptr<StreamSocket> self = shared_from_this();
  const std::shared_ptr<const SocketListener> listener = m_listener;
  if (m_resetOnEnd) {
    Reset();
  } else {
    Close();
  }
  if (listener->m_onEnd) {
    listener->m_onEnd(aEnd);
  }
}

void StreamSocket::Close() {
  if (!IsOpen()) {
    return;
  }
  m_loop.Unwatch(m_watch);
  m_descriptor.Close();
  SetListener({});
}

void StreamSocket::Reset() {
  if (IsOpen()) {
    const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_descriptor.Number(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    Close();
  }
}

void StreamSocket::CloseAfterWriting(Time aReadBy) {
  if (!IsOpen() || m_shutdownAfterWriting) {
    return;
  }
  m_readBy = aReadBy;
  m_lingering = true;
  m_shutdownAfterWriting = true;
  SetListener({});
  SetReading(true);
  if (!m_connecting && !m_wantsWriting) {
    Flush();
  }
}

} // namespace fennelline

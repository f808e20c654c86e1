#include "LibWire/Http2Channel.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace fennelline {

namespace {

constexpr std::size_t kReadBytes = 64UL * 1'024;
constexpr std::size_t kOutputBytes = 256UL * 1'024;
/// Maximum reads per readiness event, so that a busy connection does not starve the others.
constexpr int kMaxReads = 16;
constexpr int kStreamWindowBytes = 4 * 1'024 * 1'024;
constexpr int kConnectionWindowBytes = 16 * 1'024 * 1'024;

} // namespace

Http2Callbacks MakeHttp2Callbacks() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  return Http2Callbacks(callbacks);
}

void SubmitHttp2Settings(nghttp2_session* aSession) {
  const std::array<nghttp2_settings_entry, 3> settings = {{
    {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
    {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
    {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(aSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  constexpr std::int32_t kWholeConnection = 0;
  nghttp2_session_set_local_window_size(aSession, NGHTTP2_FLAG_NONE, kWholeConnection,
                                        kConnectionWindowBytes);
}

Http2Channel::Http2Channel(Context aContext, FileDescriptor aSocket, Http2Session aSession,
                           std::uint64_t aToken, Time aNow)
  : m_context(aContext)
  , m_socket(std::move(aSocket))
  , m_session(std::move(aSession))
  , m_token(aToken)
  , m_lastReceived(aNow) {
  m_context.m_poller.Add(m_socket.Number(), m_token, m_watchesWritable);
}

bool Http2Channel::Receive(Time aNow) {
  std::array<char, kReadBytes> buffer;
  for (int reads = 0; reads < kMaxReads; ++reads) {
    const ssize_t length = ::recv(m_socket.Number(), buffer.data(), buffer.size(), 0);
    if (length < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    if (length == 0) {
      return false;
    }
    m_lastReceived = aNow;
    m_pingSentAt = kNever;
    const std::size_t size = static_cast<std::size_t>(length);
    m_context.m_counts.m_bytesReceived += size;
    const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(buffer.data());
    if (nghttp2_session_mem_recv(m_session.get(), bytes, size) < 0) {
      return false;
    }
  }
  return true;
}

bool Http2Channel::Flush() {
  while (true) {
    if (m_written == m_output.size()) {
      FillOutput();
    }
    if (m_output.empty()) {
      SetWriting(false);
      const bool ended = nghttp2_session_want_read(m_session.get()) == 0 &&
                         nghttp2_session_want_write(m_session.get()) == 0;
      return !ended;
    }
    if (!WriteOutput()) {
      return false;
    }
    if (m_written < m_output.size()) {
      SetWriting(true);
      return true;
    }
  }
}

void Http2Channel::FillOutput() {
  m_output.clear();
  m_written = 0;
  while (m_output.size() < kOutputBytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t length = nghttp2_session_mem_send(m_session.get(), &bytes);
    if (length <= 0) {
      return;
    }
    m_output.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(length));
  }
}

bool Http2Channel::WriteOutput() {
  const ssize_t length = ::send(m_socket.Number(), m_output.data() + m_written,
                                m_output.size() - m_written, MSG_NOSIGNAL);
  if (length < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  m_written += static_cast<std::size_t>(length);
  m_context.m_counts.m_bytesSent += static_cast<std::size_t>(length);
  return true;
}

void Http2Channel::SetWriting(bool aWriting) {
  if (m_watchesWritable != aWriting) {
    m_watchesWritable = aWriting;
    m_context.m_poller.Change(m_socket.Number(), m_token, m_watchesWritable);
  }
}

bool Http2Channel::CheckLiveness(Time aNow, Duration aInterval, Duration aPingTimeout) {
  if (m_pingSentAt != kNever) {
    return aNow - m_pingSentAt < aPingTimeout;
  }
  if (aNow - m_lastReceived >= aInterval) {
    nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
    m_pingSentAt = aNow;
  }
  return true;
}

void Http2Channel::ResetLiveness(Time aNow) {
  m_lastReceived = aNow;
  m_pingSentAt = kNever;
}

} // namespace fennelline

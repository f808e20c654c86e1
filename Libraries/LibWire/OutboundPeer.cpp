#include "LibWire/OutboundPeer.h"

#include "LibWire/StreamHeaders.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace fennelline {

namespace {

constexpr int kAccepted = 204;

OutboundPeer& Self(void* aSelf) {
  return *static_cast<OutboundPeer*>(aSelf);
}

nghttp2_nv Header(std::string_view aName, std::string_view aValue) {
  // nghttp2 copies header names and values, although its types lack const.
  const auto bytes = [](std::string_view aText) {
    return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(aText.data()));
  };
  return {bytes(aName), bytes(aValue), aName.size(), aValue.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

OutboundPeer::OutboundPeer(Context aContext, EntryId aTo, std::uint64_t aToken, Time aNow)
  : m_context(aContext)
  , m_to(std::move(aTo))
  , m_token(aToken)
  , m_proof(
      MakeProof(m_context.m_settings.m_sharedSecrets.front(), m_context.m_settings.m_self, m_to))
  // Numbers start from the clock, so they stay above those used before this peer was last
  // forgotten.
  , m_nextNumber(static_cast<std::uint64_t>(aNow.time_since_epoch().count()))
  , m_lastUsed(aNow)
  , m_nextConnect(aNow)
  , m_backoff(m_context.m_settings.m_minBackoff) {}

void OutboundPeer::Enqueue(std::string aBytes, const std::string& aAddress, Time aNow) {
  m_lastUsed = aNow;
  if (m_address != aAddress) {
    if (m_channel) {
      Disconnect(aNow);
    }
    m_address = aAddress;
    m_nextConnect = aNow;
  }
  const std::size_t count = m_waiting.size() + m_inFlight.size();
  const bool fits = count < m_context.m_settings.m_maxQueuedMessages &&
                    m_queuedBytes + aBytes.size() <= m_context.m_settings.m_maxQueuedBytes;
  if (!fits) {
    ++m_context.m_counts.m_dropped;
    return;
  }
  m_queuedBytes += aBytes.size();
  ++m_context.m_counts.m_sent;
  m_waiting.push_back(std::make_unique<OutgoingMessage>(
    OutgoingMessage{.m_number = m_nextNumber++, .m_bytes = std::move(aBytes)}));
}

void OutboundPeer::HandleReadiness(const Readiness& aReadiness, Time aNow) {
  if (!m_channel || !aReadiness.m_readable) {
    return;
  }
  if (!m_channel->Receive(aNow)) {
    Disconnect(aNow);
    return;
  }
  if (m_channel->LastReceived() == aNow) {
    m_backoff = m_context.m_settings.m_minBackoff;
  }
}

void OutboundPeer::Advance(Time aNow) {
  if (!m_channel && !m_waiting.empty() && aNow >= m_nextConnect) {
    Connect(aNow);
  }
  if (!m_channel) {
    return;
  }
  SubmitWaiting();
  if (!m_channel->Flush()) {
    Disconnect(aNow);
  }
}

void OutboundPeer::CheckTimeouts(Time aNow, Duration aIdlePingInterval) {
  const PeerTransportSettings& settings = m_context.m_settings;
  const Duration interval = HasMessages() ? settings.m_pingInterval : aIdlePingInterval;
  const Duration pingTimeout = settings.m_silenceLimit - settings.m_pingInterval;
  if (m_channel && !m_channel->CheckLiveness(aNow, interval, pingTimeout)) {
    ++m_context.m_counts.m_replaced;
    Disconnect(aNow);
    // The peer may be healthy and only the connection lost, so there is no backoff.
    m_nextConnect = aNow;
  }
  if (m_channel && !HasMessages() && aNow - m_lastUsed >= settings.m_idleLimit) {
    ++m_context.m_counts.m_closedIdle;
    m_channel.reset();
  }
  Advance(aNow);
}

void OutboundPeer::ResetLiveness(Time aNow) {
  if (m_channel) {
    m_channel->ResetLiveness(aNow);
  }
}

bool OutboundPeer::IsUnusedSince(Time aTime) const {
  return !m_channel && !HasMessages() && m_lastUsed < aTime;
}

Http2Session OutboundPeer::MakeSession(OutboundPeer* aSelf) {
  const Http2Callbacks callbacks = MakeHttp2Callbacks();
  nghttp2_session_callbacks_set_on_header_callback(callbacks.get(), &OnHeader);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks.get(), &OnStreamClose);
  nghttp2_session* session = nullptr;
  nghttp2_session_client_new(&session, callbacks.get(), aSelf);
  return Http2Session(session);
}

void OutboundPeer::Connect(Time aNow) {
  Result<FileDescriptor> socket = ConnectStream(m_address);
  m_nextConnect = aNow + m_backoff;
  m_backoff = std::min(m_backoff * 2, m_context.m_settings.m_maxBackoff);
  if (socket.IsError()) {
    return;
  }
  m_channel.emplace(Http2Channel::Context{m_context.m_poller, m_context.m_counts}, socket.Take(),
                    MakeSession(this), m_token, aNow);
  SubmitHttp2Settings(m_channel->Session());
}

void OutboundPeer::Disconnect(Time aNow) {
  m_channel.reset();
  m_nextConnect = std::max(m_nextConnect, aNow);
  std::vector<MessagePointer> interrupted;
  for (auto& [stream, message] : m_inFlight) {
    interrupted.push_back(std::move(message));
  }
  m_inFlight.clear();
  const auto laterFirst = [](const MessagePointer& aLeft, const MessagePointer& aRight) {
    return aLeft->m_number > aRight->m_number;
  };
  std::sort(interrupted.begin(), interrupted.end(), laterFirst);
  for (MessagePointer& message : interrupted) {
    Resend(std::move(message));
  }
}

void OutboundPeer::Resend(MessagePointer aMessage) {
  if (aMessage->m_resent) {
    Drop(*aMessage);
    return;
  }
  aMessage->m_resent = true;
  aMessage->m_read = 0;
  aMessage->m_status = 0;
  ++m_context.m_counts.m_resent;
  m_waiting.push_front(std::move(aMessage));
}

void OutboundPeer::Drop(const OutgoingMessage& aMessage) {
  ++m_context.m_counts.m_dropped;
  Release(aMessage);
}

void OutboundPeer::Release(const OutgoingMessage& aMessage) {
  m_queuedBytes -= aMessage.m_bytes.size();
}

void OutboundPeer::SubmitWaiting() {
  while (!m_waiting.empty() && m_inFlight.size() < kMaxStreams) {
    MessagePointer message = std::move(m_waiting.front());
    m_waiting.pop_front();
    if (!Submit(std::move(message))) {
      return;
    }
  }
}

bool OutboundPeer::Submit(MessagePointer aMessage) {
  const std::string path = std::string(kMessagePath) + std::to_string(aMessage->m_number);
  const std::array<nghttp2_nv, 7> headers = {
    Header(":method", "POST"),
    Header(":authority", m_address),
    Header(":scheme", "http"),
    Header(":path", path),
    Header(kFromHeader, m_context.m_settings.m_self),
    Header(kToHeader, m_to),
    Header(kProofHeader, m_proof),
  };
  nghttp2_data_provider body{};
  body.source.ptr = aMessage.get();
  body.read_callback = &OnReadBody;
  const std::int32_t stream = nghttp2_submit_request(m_channel->Session(), nullptr, headers.data(),
                                                     headers.size(), &body, nullptr);
  if (stream < 0) {
    // The connection has run out of stream IDs or is closing; a new one follows.
    m_waiting.push_front(std::move(aMessage));
    nghttp2_session_terminate_session(m_channel->Session(), NGHTTP2_NO_ERROR);
    return false;
  }
  m_inFlight.emplace(stream, std::move(aMessage));
  return true;
}

int OutboundPeer::OnHeader(nghttp2_session* /*aSession*/, const nghttp2_frame* aFrame,
                           const std::uint8_t* aName, std::size_t aNameLength,
                           const std::uint8_t* aValue, std::size_t aValueLength,
                           std::uint8_t /*aFlags*/, void* aSelf) {
  const std::string_view name(reinterpret_cast<const char*>(aName), aNameLength);
  const auto found = Self(aSelf).m_inFlight.find(aFrame->hd.stream_id);
  if (name == ":status" && found != Self(aSelf).m_inFlight.end()) {
    const char* begin = reinterpret_cast<const char*>(aValue);
    std::from_chars(begin, begin + aValueLength, found->second->m_status);
  }
  return 0;
}

int OutboundPeer::OnStreamClose(nghttp2_session* /*aSession*/, std::int32_t aStream,
                                std::uint32_t /*aErrorCode*/, void* aSelf) {
  Self(aSelf).FinishStream(aStream);
  return 0;
}

void OutboundPeer::FinishStream(std::int32_t aStream) {
  const auto found = m_inFlight.find(aStream);
  if (found == m_inFlight.end()) {
    return;
  }
  MessagePointer message = std::move(found->second);
  m_inFlight.erase(found);
  if (message->m_status == kAccepted) {
    Release(*message);
  } else if (message->m_status == 0) {
    Resend(std::move(message));
  } else {
    Drop(*message);
  }
}

ssize_t OutboundPeer::OnReadBody(nghttp2_session* /*aSession*/, std::int32_t /*aStream*/,
                                 std::uint8_t* aBuffer, std::size_t aLength, std::uint32_t* aFlags,
                                 nghttp2_data_source* aSource, void* /*aSelf*/) {
  OutgoingMessage& message = *static_cast<OutgoingMessage*>(aSource->ptr);
  const std::size_t length = std::min(aLength, message.m_bytes.size() - message.m_read);
  message.m_bytes.copy(reinterpret_cast<char*>(aBuffer), length, message.m_read);
  message.m_read += length;
  if (message.m_read == message.m_bytes.size()) {
    *aFlags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(length);
}

} // namespace fennelline

#include "LibWire/InboundConnection.h"

#include "LibWire/StreamHeaders.h"

#include <array>

namespace fennelline {

namespace {

constexpr int kAccepted = 204;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kTooLarge = 413;
constexpr int kMisdirected = 421;
constexpr int kOverloaded = 503;

/// A peer closes an idle connection itself, so a longer silence means that the peer is gone.
constexpr Duration kInboundSilenceLimit = Seconds(120);

InboundConnection& Self(void* aSelf) {
  return *static_cast<InboundConnection*>(aSelf);
}

std::string_view Text(const std::uint8_t* aBytes, std::size_t aLength) {
  return {reinterpret_cast<const char*>(aBytes), aLength};
}

std::uint8_t* HeaderBytes(std::string_view aText) {
  // nghttp2 copies header names and values, although its types lack const.
  return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(aText.data()));
}

} // namespace

InboundConnection::InboundConnection(Context aContext, Poller& aPoller, FileDescriptor aSocket,
                                     std::uint64_t aToken, Time aNow)
  : m_context(aContext)
  , m_now(aNow)
  , m_channel({aPoller, aContext.m_counts}, std::move(aSocket), MakeSession(this), aToken, aNow) {
  SubmitHttp2Settings(m_channel.Session());
}

InboundConnection::~InboundConnection() {
  for (auto& [number, stream] : m_streams) {
    DropBody(stream);
  }
}

Http2Session InboundConnection::MakeSession(InboundConnection* aSelf) {
  const Http2Callbacks callbacks = MakeHttp2Callbacks();
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks.get(), &OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks.get(), &OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks.get(), &OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks.get(), &OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks.get(), &OnStreamClose);
  nghttp2_session* session = nullptr;
  nghttp2_session_server_new(&session, callbacks.get(), aSelf);
  return Http2Session(session);
}

bool InboundConnection::Receive(Time aNow) {
  m_now = aNow;
  return m_channel.Receive(aNow);
}

bool InboundConnection::CheckLiveness(Time aNow) const {
  return aNow - m_channel.LastReceived() < kInboundSilenceLimit;
}

int InboundConnection::OnBeginHeaders(nghttp2_session* /*aSession*/, const nghttp2_frame* aFrame,
                                      void* aSelf) {
  Self(aSelf).m_streams.try_emplace(aFrame->hd.stream_id);
  return 0;
}

int InboundConnection::OnHeader(nghttp2_session* /*aSession*/, const nghttp2_frame* aFrame,
                                const std::uint8_t* aName, std::size_t aNameLength,
                                const std::uint8_t* aValue, std::size_t aValueLength,
                                std::uint8_t /*aFlags*/, void* aSelf) {
  const auto found = Self(aSelf).m_streams.find(aFrame->hd.stream_id);
  if (found == Self(aSelf).m_streams.end()) {
    return 0;
  }
  Stream& stream = found->second;
  const std::string_view name = Text(aName, aNameLength);
  const std::string_view value = Text(aValue, aValueLength);
  if (name == ":path") {
    stream.m_path = value;
  } else if (name == kFromHeader) {
    stream.m_from = value;
  } else if (name == kToHeader) {
    stream.m_to = value;
  } else if (name == kProofHeader) {
    stream.m_proof = value;
  }
  return 0;
}

int InboundConnection::OnFrame(nghttp2_session* /*aSession*/, const nghttp2_frame* aFrame,
                               void* aSelf) {
  InboundConnection& self = Self(aSelf);
  const auto found = self.m_streams.find(aFrame->hd.stream_id);
  if (found == self.m_streams.end()) {
    return 0;
  }
  if (aFrame->hd.type == NGHTTP2_HEADERS) {
    self.CheckHeaders(found->second);
  }
  const bool carriesContent = aFrame->hd.type == NGHTTP2_HEADERS || aFrame->hd.type == NGHTTP2_DATA;
  if (carriesContent && (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    self.FinishStream(found->first, found->second);
  }
  return 0;
}

int InboundConnection::OnData(nghttp2_session* /*aSession*/, std::uint8_t /*aFlags*/,
                              std::int32_t aStream, const std::uint8_t* aBytes, std::size_t aLength,
                              void* aSelf) {
  InboundConnection& self = Self(aSelf);
  const auto found = self.m_streams.find(aStream);
  if (found != self.m_streams.end()) {
    self.AppendBody(found->second, Text(aBytes, aLength));
  }
  return 0;
}

int InboundConnection::OnStreamClose(nghttp2_session* /*aSession*/, std::int32_t aStream,
                                     std::uint32_t /*aErrorCode*/, void* aSelf) {
  InboundConnection& self = Self(aSelf);
  const auto found = self.m_streams.find(aStream);
  if (found != self.m_streams.end()) {
    self.DropBody(found->second);
    self.m_streams.erase(found);
  }
  return 0;
}

void InboundConnection::CheckHeaders(Stream& aStream) {
  if (!IsKnownPeer(aStream)) {
    aStream.m_refusal = kUnauthorized;
  } else if (aStream.m_to != m_context.m_settings.m_self) {
    aStream.m_refusal = kMisdirected;
  } else if (!ParseMessagePath(aStream.m_path)) {
    aStream.m_refusal = kBadRequest;
  }
}

bool InboundConnection::IsKnownPeer(const Stream& aStream) {
  const std::string headers = aStream.m_from + "\n" + aStream.m_to + "\n" + aStream.m_proof;
  if (!m_checkedHeaders.empty() && headers == m_checkedHeaders) {
    return true;
  }
  const bool known = VerifyProof(m_context.m_settings.m_sharedSecrets, aStream.m_proof,
                                 aStream.m_from, aStream.m_to);
  if (known) {
    m_checkedHeaders = headers;
  }
  return known;
}

void InboundConnection::AppendBody(Stream& aStream, std::string_view aBytes) {
  if (aStream.m_refusal != 0) {
    return;
  }
  if (aStream.m_body.size() + aBytes.size() > kMaxMessageBytes) {
    aStream.m_refusal = kTooLarge;
    DropBody(aStream);
    return;
  }
  if (m_context.m_bufferedBytes + aBytes.size() > m_context.m_settings.m_maxBufferedBytes) {
    aStream.m_refusal = kOverloaded;
    DropBody(aStream);
    return;
  }
  aStream.m_body.append(aBytes);
  m_context.m_bufferedBytes += aBytes.size();
}

void InboundConnection::DropBody(Stream& aStream) {
  m_context.m_bufferedBytes -= aStream.m_body.size();
  aStream.m_body.clear();
  aStream.m_body.shrink_to_fit();
}

void InboundConnection::FinishStream(std::int32_t aNumber, Stream& aStream) {
  if (aStream.m_refusal == 0) {
    AcceptMessage(aStream);
  }
  if (aStream.m_refusal != 0) {
    ++m_context.m_counts.m_refused;
  }
  Respond(aNumber, aStream.m_refusal == 0 ? kAccepted : aStream.m_refusal);
}

void InboundConnection::AcceptMessage(Stream& aStream) {
  Result<Envelope> envelope = DecodeMessage(aStream.m_body);
  if (envelope.IsError() || envelope.Get().m_from != aStream.m_from) {
    aStream.m_refusal = kBadRequest;
    return;
  }
  const std::uint64_t number = *ParseMessagePath(aStream.m_path);
  if (!m_context.m_duplicates.Accept(aStream.m_from, number, m_now)) {
    ++m_context.m_counts.m_duplicates;
    return;
  }
  ++m_context.m_counts.m_received;
  m_context.m_received.push_back(envelope.Take());
}

void InboundConnection::Respond(std::int32_t aNumber, int aStatus) {
  const std::string status = std::to_string(aStatus);
  constexpr std::string_view kStatusName = ":status";
  const nghttp2_nv header = {HeaderBytes(kStatusName), HeaderBytes(status), kStatusName.size(),
                             status.size(), NGHTTP2_NV_FLAG_NONE};
  nghttp2_submit_response(m_channel.Session(), aNumber, &header, 1, nullptr);
}

} // namespace fennelline

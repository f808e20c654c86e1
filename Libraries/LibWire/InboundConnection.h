#pragma once

#include "LibWire/DuplicateFilter.h"
#include "LibWire/Http2Channel.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// A connection opened by a peer: reads its messages and acknowledges each of them.
class InboundConnection {
public:
  /// State shared by all inbound connections; it must outlive them.
  struct Context {
    const PeerTransportSettings& m_settings;
    PeerTransportCounts& m_counts;
    DuplicateFilter& m_duplicates;
    /// Bytes of incomplete messages on all connections.
    std::size_t& m_bufferedBytes;
    /// Messages to deliver, in the order of their completion.
    std::vector<Envelope>& m_received;
  };

  InboundConnection(Context aContext, Poller& aPoller, FileDescriptor aSocket, std::uint64_t aToken,
                    Time aNow);
  ~InboundConnection();
  InboundConnection(const InboundConnection&) = delete;
  InboundConnection& operator=(const InboundConnection&) = delete;

  /// These return false once the connection has to be closed.
  bool Receive(Time aNow);
  bool Flush() { return m_channel.Flush(); }
  bool CheckLiveness(Time aNow) const;
  void ResetLiveness(Time aNow) { m_channel.ResetLiveness(aNow); }

private:
  struct Stream {
    std::string m_path;
    EntryId m_from;
    EntryId m_to;
    std::string m_proof;
    std::string m_body;
    /// The HTTP status of a refusal, or zero.
    int m_refusal = 0;
  };

  static Http2Session MakeSession(InboundConnection* aSelf);
  static int OnBeginHeaders(nghttp2_session* aSession, const nghttp2_frame* aFrame, void* aSelf);
  static int OnHeader(nghttp2_session* aSession, const nghttp2_frame* aFrame,
                      const std::uint8_t* aName, std::size_t aNameLength,
                      const std::uint8_t* aValue, std::size_t aValueLength, std::uint8_t aFlags,
                      void* aSelf);
  static int OnFrame(nghttp2_session* aSession, const nghttp2_frame* aFrame, void* aSelf);
  static int OnData(nghttp2_session* aSession, std::uint8_t aFlags, std::int32_t aStream,
                    const std::uint8_t* aBytes, std::size_t aLength, void* aSelf);
  static int OnStreamClose(nghttp2_session* aSession, std::int32_t aStream,
                           std::uint32_t aErrorCode, void* aSelf);

  void CheckHeaders(Stream& aStream);
  bool IsKnownPeer(const Stream& aStream);
  void AppendBody(Stream& aStream, std::string_view aBytes);
  void DropBody(Stream& aStream);
  void FinishStream(std::int32_t aNumber, Stream& aStream);
  void AcceptMessage(Stream& aStream);
  void Respond(std::int32_t aNumber, int aStatus);

  Context m_context;
  std::unordered_map<std::int32_t, Stream> m_streams;
  /// The last headers that were verified, so that the proof is checked only once per connection.
  std::string m_checkedHeaders;
  Time m_now;
  Http2Channel m_channel;
};

} // namespace fennelline

#pragma once

#include "LibWire/Http2Channel.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace fennelline {

/// A peer that this process sends to: its message queue and the connection.
class OutboundPeer {
public:
  /// State shared by all peers; it must outlive them.
  struct Context {
    const PeerTransportSettings& m_settings;
    PeerTransportCounts& m_counts;
    Poller& m_poller;
  };

  OutboundPeer(Context aContext, EntryId aTo, std::uint64_t aToken, Time aNow);
  OutboundPeer(const OutboundPeer&) = delete;
  OutboundPeer& operator=(const OutboundPeer&) = delete;

  /// Queues an encoded message for the peer at an address.
  void Enqueue(std::string aBytes, const std::string& aAddress, Time aNow);
  /// Handles a connection that has become readable or writable.
  void HandleReadiness(const Readiness& aReadiness, Time aNow);
  /// Submits waiting messages to streams and writes; connects first if necessary.
  void Advance(Time aNow);
  /// Replaces an unresponsive connection and closes an idle one. To be called frequently. A
  /// connection without messages is pinged at aIdlePingInterval.
  void CheckTimeouts(Time aNow, Duration aIdlePingInterval);
  void ResetLiveness(Time aNow);

  bool IsConnected() const { return m_channel.has_value(); }
  bool HasMessages() const { return !m_waiting.empty() || !m_inFlight.empty(); }
  /// Whether the peer has no messages and no connection and has not been used since the given time.
  bool IsUnusedSince(Time aTime) const;

private:
  struct OutgoingMessage {
    std::uint64_t m_number = 0;
    std::string m_bytes;
    std::size_t m_read = 0;
    bool m_resent = false;
    int m_status = 0;
  };
  using MessagePointer = std::unique_ptr<OutgoingMessage>;

  static Http2Session MakeSession(OutboundPeer* aSelf);
  static int OnHeader(nghttp2_session* aSession, const nghttp2_frame* aFrame,
                      const std::uint8_t* aName, std::size_t aNameLength,
                      const std::uint8_t* aValue, std::size_t aValueLength, std::uint8_t aFlags,
                      void* aSelf);
  static int OnStreamClose(nghttp2_session* aSession, std::int32_t aStream,
                           std::uint32_t aErrorCode, void* aSelf);
  static ssize_t OnReadBody(nghttp2_session* aSession, std::int32_t aStream, std::uint8_t* aBuffer,
                            std::size_t aLength, std::uint32_t* aFlags,
                            nghttp2_data_source* aSource, void* aSelf);

  void Connect(Time aNow);
  void Disconnect(Time aNow);
  void SubmitWaiting();
  bool Submit(MessagePointer aMessage);
  void FinishStream(std::int32_t aStream);
  void Resend(MessagePointer aMessage);
  void Drop(const OutgoingMessage& aMessage);
  void Release(const OutgoingMessage& aMessage);

  Context m_context;
  EntryId m_to;
  std::uint64_t m_token = 0;
  std::string m_address;
  std::string m_proof;
  std::uint64_t m_nextNumber = 0;
  std::deque<MessagePointer> m_waiting;
  std::unordered_map<std::int32_t, MessagePointer> m_inFlight;
  std::size_t m_queuedBytes = 0;
  Time m_lastUsed;
  Time m_nextConnect;
  Duration m_backoff;
  std::optional<Http2Channel> m_channel;
};

} // namespace fennelline

#pragma once

#include "LibBase/Time.h"
#include "LibWire/PeerTransport.h"
#include "LibWire/Poller.h"
#include "LibWire/Socket.h"

#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>

namespace fennelline {

struct Http2SessionDeleter {
  void operator()(nghttp2_session* aSession) const { nghttp2_session_del(aSession); }
};
using Http2Session = std::unique_ptr<nghttp2_session, Http2SessionDeleter>;

struct Http2CallbacksDeleter {
  void operator()(nghttp2_session_callbacks* aCallbacks) const {
    nghttp2_session_callbacks_del(aCallbacks);
  }
};
using Http2Callbacks = std::unique_ptr<nghttp2_session_callbacks, Http2CallbacksDeleter>;

Http2Callbacks MakeHttp2Callbacks();

/// Queues the settings and the flow-control window that both ends of a connection use.
void SubmitHttp2Settings(nghttp2_session* aSession);

/// Maximum number of concurrent streams on one connection.
constexpr std::size_t kMaxStreams = 1'024;

/// One HTTP/2 connection: a socket and the nghttp2 session that processes its bytes.
class Http2Channel {
public:
  /// Both must outlive the channel.
  struct Context {
    Poller& m_poller;
    PeerTransportCounts& m_counts;
  };

  Http2Channel(Context aContext, FileDescriptor aSocket, Http2Session aSession,
               std::uint64_t aToken, Time aNow);

  nghttp2_session* Session() const { return m_session.get(); }
  Time LastReceived() const { return m_lastReceived; }

  /// Reads the available bytes. Returns false once the connection has ended or violated the
  /// protocol.
  bool Receive(Time aNow);
  /// Writes as much as the socket accepts; the rest is written when the socket becomes writable.
  /// Returns false once the connection has ended.
  bool Flush();
  /// Sends a PING if nothing was received for aInterval. Returns false if nothing was received
  /// within aPingTimeout after a PING.
  bool CheckLiveness(Time aNow, Duration aInterval, Duration aPingTimeout);
  /// Restarts the liveness timers after this process was paused.
  void ResetLiveness(Time aNow);

private:
  void FillOutput();
  bool WriteOutput();
  void SetWriting(bool aWriting);

  Context m_context;
  FileDescriptor m_socket;
  Http2Session m_session;
  std::uint64_t m_token = 0;
  std::string m_output;
  std::size_t m_written = 0;
  bool m_watchesWritable = true;
  Time m_lastReceived;
  /// When the unanswered PING was sent; kNever if there is none.
  Time m_pingSentAt = kNever;
};

} // namespace fennelline

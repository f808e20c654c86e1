#pragma once

#include "LibBase/Error.h"
#include "LibHttp/EventLoop.h"
#include "LibWire/Socket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fennelline {

enum class SocketEnd : std::uint8_t {
  /// The peer closed its sending direction in an orderly way.
  Closed,
  /// Nothing listens at the address.
  Refused,
  /// The connection was reset, timed out or could not be established.
  Failed,
};

/// Kernel timeouts that detect an unresponsive peer.
struct SocketLimits {
  /// Sent data that stays unacknowledged for this long fails the connection (TCP_USER_TIMEOUT).
  Duration m_unacknowledgedTimeout = Milliseconds(1500);
  /// Idle time in seconds before the first keep-alive probe. Further probes follow every second.
  int m_keepAliveSeconds = 1;
  /// Unanswered keep-alive probes that fail the connection.
  int m_keepAliveProbes = 2;
};

/// Callbacks for the owner of a socket. They may close the socket.
struct SocketListener {
  std::function<void()> m_onConnected;
  std::function<void()> m_onInput;
  /// All output has been passed to the kernel.
  std::function<void()> m_onDrained;
  std::function<void(SocketEnd)> m_onEnd;
};

/// A buffered, non-blocking TCP connection on an event loop, which keeps it alive until it is
/// closed.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
public:
  /// Takes ownership of an accepted connection.
  static std::shared_ptr<StreamSocket> Adopt(EventLoop& aLoop, FileDescriptor aDescriptor,
                                             const SocketLimits& aLimits);
  /// Starts connecting to "IP:PORT".
  static Result<std::shared_ptr<StreamSocket>> Connect(EventLoop& aLoop,
                                                       const std::string& aAddress,
                                                       const SocketLimits& aLimits);

  StreamSocket(EventLoop& aLoop, FileDescriptor aDescriptor, bool aConnecting);

  void SetListener(SocketListener aListener) {
    m_listener = std::make_shared<const SocketListener>(std::move(aListener));
  }
  /// The input buffer. The owner erases the bytes it has consumed.
  std::string& Input() { return m_input; }
  void Write(std::string_view aBytes);
  std::size_t UnsentBytes() const { return m_output.size(); }
  /// Bytes that the peer has not acknowledged, including those not sent yet.
  std::size_t UnacknowledgedBytes() const;
  /// Whether any byte has been passed to the kernel since the connection was established.
  bool HasSent() const { return m_sent; }
  bool IsOpen() const { return m_descriptor.IsOpen(); }
  /// Pauses or resumes reading, for back-pressure.
  void SetReading(bool aReading);

  /// Changes SocketLimits::m_unacknowledgedTimeout. A peer that keeps its receive window closed for
  /// as long counts as unresponsive too, although it acknowledges each probe.
  void SetUnacknowledgedTimeout(Duration aTimeout);
  /// Whether to reset the connection when the peer ends it, so that output which is lost then
  /// cannot pass for the end of a message.
  void SetResetOnEnd(bool aReset) { m_resetOnEnd = aReset; }
  /// Closes immediately and discards unsent output. No callback runs afterwards.
  void Close();
  /// Closes immediately with a TCP reset, so that the peer cannot mistake a truncated message for a
  /// complete one.
  void Reset();
  /// Sends the remaining output, shuts down the sending direction and closes once the peer has
  /// closed or a timeout expires. Closing with unread input would reset the connection and could
  /// discard output that the peer has not read yet, so the peer may take until aReadBy for that.
  void CloseAfterWriting(Time aReadBy = Time{});

private:
  void Start();
  void Notify(std::function<void()> SocketListener::*aCallback);
  void OnReady(const Readiness& aReadiness);
  void ReadAvailable();
  void Flush();
  void FinishConnecting();
  void UpdateInterest();
  void Linger();
  void End(SocketEnd aEnd);

  EventLoop& m_loop;
  FileDescriptor m_descriptor;
  /// Shared, because a callback may close the socket while it runs.
  std::shared_ptr<const SocketListener> m_listener = std::make_shared<const SocketListener>();
  std::string m_input;
  std::string m_output;
  std::uint64_t m_watch = 0;
  bool m_connecting = false;
  bool m_reading = true;
  bool m_wantsWriting = false;
  bool m_sent = false;
  /// A write has failed. What was received before may still be read.
  bool m_hasFailed = false;
  bool m_lingering = false;
  bool m_resetOnEnd = false;
  bool m_shutdownAfterWriting = false;
  Time m_readBy{};
};

} // namespace fennelline

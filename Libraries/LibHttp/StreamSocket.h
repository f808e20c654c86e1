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
  /// The peer has closed its direction in order.
  Closed,
  /// Reset, timed out or never connected.
  Failed,
};

/// What the kernel finds out about a peer that says nothing.
struct SocketLimits {
  /// Sent bytes that are not acknowledged for this long end the connection.
  Duration m_unacknowledged = Milliseconds(1500);
  /// A quiet connection is probed after this time, in whole seconds, and then each second.
  int m_keepAliveSeconds = 1;
  /// Probes without an answer that end the connection.
  int m_keepAliveProbes = 2;
};

/// What the owner of a socket is told. Callbacks may close the socket.
struct SocketListener {
  std::function<void()> m_onConnected;
  std::function<void()> m_onInput;
  /// All that was written has gone to the kernel.
  std::function<void()> m_onDrained;
  std::function<void(SocketEnd)> m_onEnd;
};

/// A buffered, non-blocking TCP connection on an event loop. Kept alive by the loop until closed.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
public:
  /// Takes over an accepted connection.
  static std::shared_ptr<StreamSocket> Adopt(EventLoop& aLoop, FileDescriptor aDescriptor,
                                             const SocketLimits& aLimits);
  /// Starts to connect to "IP:PORT".
  static Result<std::shared_ptr<StreamSocket>> Connect(EventLoop& aLoop,
                                                       const std::string& aAddress,
                                                       const SocketLimits& aLimits);

  StreamSocket(EventLoop& aLoop, FileDescriptor aDescriptor, bool aConnecting);

  void SetListener(SocketListener aListener) {
    m_listener = std::make_shared<const SocketListener>(std::move(aListener));
  }
  /// Bytes received and not yet taken; the owner erases what it has used.
  std::string& Input() { return m_input; }
  void Write(std::string_view aBytes);
  std::size_t UnsentBytes() const { return m_output.size(); }
  /// Whether any byte was handed to the kernel since the connection was made.
  bool HasSent() const { return m_sent; }
  bool IsOpen() const { return m_descriptor.IsOpen(); }
  /// Stops or goes on to read, for back-pressure.
  void SetReading(bool aReading);

  /// Closes at once; unsent bytes are dropped. No callback runs after it.
  void Close();
  /// Closes at once with a reset, so that the peer cannot take what it has for complete.
  void Reset();
  /// Sends the rest, ends the own direction and closes when the peer has closed too, or after a
  /// while: closing with unread bytes would reset what the peer has not read yet.
  void CloseAfterWriting();

private:
  void Start();
  void Notify(std::function<void()> SocketListener::*aCallback);
  void OnReady(const Readiness& aReadiness);
  void ReadAll();
  void Flush();
  void FinishConnecting();
  void UpdateInterest();
  void End(SocketEnd aEnd);

  EventLoop& m_loop;
  FileDescriptor m_descriptor;
  /// Shared, because a callback may close the socket that calls it.
  std::shared_ptr<const SocketListener> m_listener = std::make_shared<const SocketListener>();
  std::string m_input;
  std::string m_output;
  std::uint64_t m_watch = 0;
  bool m_connecting = false;
  bool m_reading = true;
  bool m_wantsWriting = false;
  bool m_sent = false;
  bool m_lingering = false;
  bool m_endsOutput = false;
};

} // namespace fennelline

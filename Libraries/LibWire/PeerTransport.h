#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibWire/MessageCodec.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fennelline {

struct PeerTransportSettings {
  /// The entry ID of this process. A message addressed to another one is refused.
  EntryId m_self;
  /// The IPv4 address to listen on.
  std::string m_address = "127.0.0.1";
  /// Port 0 selects a free one.
  int m_port = 0;
  /// The first secret authenticates this process to peers; a peer may use any of them.
  std::vector<std::string> m_sharedSecrets;
  /// Reads the hybrid logical clock for each message sent. Called on the sending thread.
  std::function<std::uint64_t()> m_readClock;
  /// A connection on which nothing was received for this long is sent a PING; one without messages
  /// may be pinged less often, see IdlePingInterval().
  Duration m_pingInterval = Milliseconds(500);
  /// A connection with messages is replaced if nothing was received for this long in spite of a
  /// PING.
  Duration m_silenceLimit = Milliseconds(1'500);
  /// A connection without messages for this long is closed.
  Duration m_idleLimit = Seconds(10);
  /// Backoff before reconnecting: doubles from the minimum to the maximum.
  Duration m_minBackoff = Milliseconds(20);
  Duration m_maxBackoff = Seconds(1);
  /// Limits of the queue for one peer, including messages sent but not yet acknowledged. Messages
  /// beyond them are dropped.
  std::size_t m_maxQueuedMessages = 8'192;
  std::size_t m_maxQueuedBytes = 16UL * 1'024 * 1'024;
  /// Limit on the bytes of incomplete messages from all peers.
  std::size_t m_maxBufferedBytes = 64UL * 1'024 * 1'024;
  /// Limit on accepted connections.
  std::size_t m_maxConnections = 2'048;
};

/// Maximum rate of PINGs that one transport sends on all its connections without messages together.
constexpr std::int64_t kMaxIdlePingsPerSecond = 16;

/// How long a connection without messages may receive nothing before it is sent a PING. Grows with
/// the number of connections, so that the cost of the PINGs does not grow with the fleet.
Duration IdlePingInterval(std::size_t aConnections, Duration aLeast);

/// Monotonic counters of a transport.
struct PeerTransportCounts {
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  /// Messages given up: over a limit, resent without success, or refused by the peer.
  std::uint64_t m_dropped = 0;
  /// Messages sent a second time, on a new connection.
  std::uint64_t m_resent = 0;
  /// Received messages that were duplicates.
  std::uint64_t m_duplicates = 0;
  /// Refused streams: wrong secret, addressed to another process, or malformed.
  std::uint64_t m_refused = 0;
  /// Connections replaced because they became unresponsive.
  std::uint64_t m_replaced = 0;
  /// Connections closed because they were idle.
  std::uint64_t m_closedIdle = 0;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

/// Carries messages between entries over HTTP/2: one connection to each peer that is sent to
/// and one stream for each message. A message may be lost, delayed or reordered, and is delivered
/// at most once. Replacing an unresponsive connection says nothing about the peer itself, whose
/// liveness is determined by the membership.
class PeerTransport {
public:
  using OnMessage = std::function<void(Envelope)>;

  /// aOnMessage runs on the transport's own thread, with no lock held.
  PeerTransport(PeerTransportSettings aSettings, OnMessage aOnMessage);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Starts listening and starts the thread. Returns the bound port.
  Result<int> Start();
  /// Closes all connections and stops the thread. No callback runs after it returns.
  void Stop();

  /// Queues a message for a peer that listens at "IP:PORT". Thread-safe; never blocks on the
  /// network.
  void Send(const EntryId& aTo, const std::string& aStreamAddress, Message aMessage);

  PeerTransportCounts Counts() const;

private:
  class Loop;
  std::unique_ptr<Loop> m_loop;
};

} // namespace fennelline

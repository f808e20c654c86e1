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
  /// This process, as peers name it. A message for another one is refused.
  EntryId m_self;
  /// The IPv4 address to listen on.
  std::string m_address = "127.0.0.1";
  /// Port 0 takes a free one.
  int m_port = 0;
  /// The first secret is shown to peers; a peer may show any.
  std::vector<std::string> m_sharedSecrets;
  /// Reads the hybrid logical clock, for each message sent. Called on the sending thread.
  std::function<std::uint64_t()> m_readClock;
  /// A connection that brought nothing for this long is asked by a PING; one without messages may
  /// be asked later, see IdlePingInterval().
  Duration m_pingInterval = Milliseconds(500);
  /// A connection with messages that brought nothing for this long, although asked, is replaced.
  Duration m_silenceLimit = Milliseconds(1'500);
  /// A connection without a message for this long is closed.
  Duration m_idleLimit = Seconds(10);
  /// Pause before connecting again: doubles from the least to the most.
  Duration m_leastBackoff = Milliseconds(20);
  Duration m_mostBackoff = Seconds(1);
  /// Bounds on the messages kept for one peer, sent and not yet acknowledged ones included. What
  /// exceeds them is dropped.
  std::size_t m_mostQueuedMessages = 8'192;
  std::size_t m_mostQueuedBytes = 16UL * 1'024 * 1'024;
  /// Bound on the bytes of unfinished messages from all peers.
  std::size_t m_mostBufferedBytes = 64UL * 1'024 * 1'024;
  /// Bound on accepted connections.
  std::size_t m_mostConnections = 2'048;
};

/// The PINGs that one transport sends on all its connections without messages, together.
constexpr std::int64_t kMaxIdlePingsPerSecond = 16;

/// How long a connection without messages may bring nothing before it is asked, with so many
/// connections: the cost of the PINGs must not grow with the fleet.
Duration IdlePingInterval(std::size_t aConnections, Duration aLeast);

/// What a transport has done, in counts that only grow.
struct PeerTransportCounts {
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  /// Messages given up: over a bound, sent again in vain, or for a peer that refused them.
  std::uint64_t m_dropped = 0;
  /// Messages sent a second time, on a new connection.
  std::uint64_t m_resent = 0;
  /// Received messages that had come before.
  std::uint64_t m_duplicates = 0;
  /// Streams refused: wrong secret, not for this process, or malformed.
  std::uint64_t m_refused = 0;
  /// Connections replaced because they went silent.
  std::uint64_t m_replaced = 0;
  /// Connections closed because no message used them.
  std::uint64_t m_closedIdle = 0;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

/// Carries messages between entries over HTTP/2: one connection to each peer that is sent to, one
/// stream for each message. A message may be lost, delayed or reordered, and is handed over at most
/// once. A silent connection is replaced; that says nothing about the peer itself, which is for the
/// membership to judge.
class PeerTransport {
public:
  using OnMessage = std::function<void(Envelope)>;

  /// aOnMessage runs on the transport's own thread, with no lock held.
  PeerTransport(PeerTransportSettings aSettings, OnMessage aOnMessage);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Listens and starts the thread. Returns the bound port.
  Result<int> Start();
  /// Closes all connections and ends the thread. No callback runs after it returns.
  void Stop();

  /// Queues a message for a peer that listens at "IP:PORT". From any thread; never blocks on the
  /// network.
  void Send(const EntryId& aTo, const std::string& aStreamAddress, Message aMessage);

  PeerTransportCounts Counts() const;

private:
  class Loop;
  std::unique_ptr<Loop> m_loop;
};

} // namespace fennelline

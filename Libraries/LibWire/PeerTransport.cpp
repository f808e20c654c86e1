#include "LibWire/PeerTransport.h"

#include "LibWire/DuplicateFilter.h"
#include "LibWire/InboundConnection.h"
#include "LibWire/OutboundPeer.h"
#include "LibWire/Poller.h"
#include "LibWire/Socket.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace fennelline {

namespace {

constexpr Duration kCheckInterval = Milliseconds(20);
/// A longer gap between two iterations of the loop means that this process was paused.
constexpr Duration kPauseLimit = Milliseconds(400);
/// How long Stop() waits for messages to be acknowledged.
constexpr Duration kStopLimit = Milliseconds(500);
/// Peers and senders that were not used for this long are forgotten.
constexpr Duration kForgetAfter = Seconds(600);

/// Limit on messages that wait for the transport's thread. Further ones are dropped.
constexpr std::size_t kMaxInboxMessages = 65'536;

constexpr std::uint64_t kListenerToken = 0;
constexpr std::uint64_t kWakeupToken = 1;
constexpr std::uint64_t kFirstToken = 2;

struct QueuedMessage {
  EntryId m_to;
  std::string m_address;
  std::string m_bytes;
};

} // namespace

Duration IdlePingInterval(std::size_t aConnections, Duration aLeast) {
  const std::int64_t connections = static_cast<std::int64_t>(aConnections);
  return std::max(aLeast, Seconds(1) * connections / kMaxIdlePingsPerSecond);
}

/// The state of the transport's thread. Only the first group of members is shared with other
/// threads.
class PeerTransport::Loop {
public:
  Loop(PeerTransportSettings aSettings, OnMessage aOnMessage)
    : m_settings(std::move(aSettings))
    , m_onMessage(std::move(aOnMessage)) {}

  Result<int> Start();
  void Stop();
  void Enqueue(QueuedMessage aMessage);
  void CountDropped();
  PeerTransportCounts Counts();
  const PeerTransportSettings& Settings() const { return m_settings; }

private:
  void Run();
  bool IsDone(Time aNow) const;
  void Handle(const Readiness& aReadiness, Time aNow);
  void AcceptAll(Time aNow);
  void HandleInbound(std::uint64_t aToken, Time aNow);
  void DrainInbox(Time aNow);
  OutboundPeer& PeerOf(const EntryId& aTo, Time aNow);
  void FlushTouched(Time aNow);
  void DeliverReceived();
  void CheckTimeouts(Time aNow);
  void ResetLiveness(Time aNow);
  void ForgetUnused(Time aNow);
  void PublishCounts();

  PeerTransportSettings m_settings;
  OnMessage m_onMessage;
  std::mutex m_mutex;
  std::vector<QueuedMessage> m_inbox;
  std::uint64_t m_droppedBySenders = 0;
  PeerTransportCounts m_publishedCounts;
  std::atomic<bool> m_stopping = false;
  FileDescriptor m_wakeup;

  std::thread m_thread;
  SystemClock m_clock;
  Poller m_poller;
  FileDescriptor m_listener;
  PeerTransportCounts m_counts;
  DuplicateFilter m_duplicates;
  std::size_t m_bufferedBytes = 0;
  std::vector<Envelope> m_received;
  std::uint64_t m_nextToken = kFirstToken;
  std::unordered_map<std::uint64_t, std::unique_ptr<InboundConnection>> m_inbound;
  std::unordered_map<std::uint64_t, std::unique_ptr<OutboundPeer>> m_peers;
  std::unordered_map<EntryId, std::uint64_t> m_peerTokens;
  std::unordered_set<std::uint64_t> m_touched;
  Time m_lastIteration;
  Time m_nextCheck;
  Time m_nextForget;
  Time m_stopBy = kNever;
};

Result<int> PeerTransport::Loop::Start() {
  if (m_settings.m_sharedSecrets.empty()) {
    return MakeError(ErrorCode::InvalidField, "shared_secrets: must have at least one secret");
  }
  TRY(m_poller.Open());
  m_listener = TRY(ListenStream(m_settings.m_address, m_settings.m_port));
  m_wakeup = MakeWakeup();
  m_poller.Add(m_listener.Number(), kListenerToken, false);
  m_poller.Add(m_wakeup.Number(), kWakeupToken, false);
  m_lastIteration = m_clock.Now();
  m_thread = std::thread([this] { Run(); });
  return LocalPort(m_listener);
}

void PeerTransport::Loop::Stop() {
  m_stopping = true;
  if (m_thread.joinable()) {
    SignalWakeup(m_wakeup);
    m_thread.join();
  }
}

void PeerTransport::Loop::Enqueue(QueuedMessage aMessage) {
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_inbox.size() >= kMaxInboxMessages) {
      ++m_droppedBySenders;
      return;
    }
    first = m_inbox.empty();
    m_inbox.push_back(std::move(aMessage));
  }
  if (first) {
    SignalWakeup(m_wakeup);
  }
}

void PeerTransport::Loop::CountDropped() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_droppedBySenders;
}

PeerTransportCounts PeerTransport::Loop::Counts() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  PeerTransportCounts counts = m_publishedCounts;
  counts.m_dropped += m_droppedBySenders;
  return counts;
}

void PeerTransport::Loop::Run() {
  while (true) {
    const std::vector<Readiness> ready = m_poller.Wait(kCheckInterval);
    const Time now = m_clock.Now();
    if (now - m_lastIteration > kPauseLimit) {
      ResetLiveness(now);
    }
    m_lastIteration = now;
    for (const Readiness& readiness : ready) {
      Handle(readiness, now);
    }
    DrainInbox(now);
    FlushTouched(now);
    DeliverReceived();
    CheckTimeouts(now);
    PublishCounts();
    if (IsDone(now)) {
      break;
    }
  }
  m_peers.clear();
  m_inbound.clear();
  m_listener.Close();
}

bool PeerTransport::Loop::IsDone(Time aNow) const {
  if (!m_stopping) {
    return false;
  }
  const bool pending = std::any_of(m_peers.begin(), m_peers.end(),
                                   [](const auto& aPeer) { return aPeer.second->HasMessages(); });
  return !pending || aNow >= m_stopBy;
}

void PeerTransport::Loop::Handle(const Readiness& aReadiness, Time aNow) {
  if (aReadiness.m_token == kListenerToken) {
    AcceptAll(aNow);
    return;
  }
  if (aReadiness.m_token == kWakeupToken) {
    DrainWakeup(m_wakeup);
    return;
  }
  m_touched.insert(aReadiness.m_token);
  const auto peer = m_peers.find(aReadiness.m_token);
  if (peer != m_peers.end()) {
    peer->second->HandleReadiness(aReadiness, aNow);
  } else if (aReadiness.m_readable) {
    HandleInbound(aReadiness.m_token, aNow);
  }
}

void PeerTransport::Loop::AcceptAll(Time aNow) {
  while (true) {
    FileDescriptor socket = AcceptStream(m_listener);
    if (!socket.IsOpen()) {
      return;
    }
    if (m_inbound.size() >= m_settings.m_maxConnections) {
      continue;
    }
    const std::uint64_t token = m_nextToken++;
    const InboundConnection::Context context{m_settings, m_counts, m_duplicates, m_bufferedBytes,
                                             m_received};
    m_inbound.emplace(token, std::make_unique<InboundConnection>(context, m_poller,
                                                                 std::move(socket), token, aNow));
    m_touched.insert(token);
  }
}

void PeerTransport::Loop::HandleInbound(std::uint64_t aToken, Time aNow) {
  const auto found = m_inbound.find(aToken);
  if (found != m_inbound.end() && !found->second->Receive(aNow)) {
    m_inbound.erase(found);
  }
}

void PeerTransport::Loop::DrainInbox(Time aNow) {
  std::vector<QueuedMessage> messages;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    messages.swap(m_inbox);
  }
  for (QueuedMessage& message : messages) {
    PeerOf(message.m_to, aNow).Enqueue(std::move(message.m_bytes), message.m_address, aNow);
    m_touched.insert(m_peerTokens[message.m_to]);
  }
}

OutboundPeer& PeerTransport::Loop::PeerOf(const EntryId& aTo, Time aNow) {
  const auto found = m_peerTokens.find(aTo);
  if (found != m_peerTokens.end()) {
    return *m_peers[found->second];
  }
  const std::uint64_t token = m_nextToken++;
  const OutboundPeer::Context context{m_settings, m_counts, m_poller};
  std::unique_ptr<OutboundPeer> peer = std::make_unique<OutboundPeer>(context, aTo, token, aNow);
  m_peerTokens[aTo] = token;
  return *m_peers.emplace(token, std::move(peer)).first->second;
}

void PeerTransport::Loop::FlushTouched(Time aNow) {
  for (const std::uint64_t token : m_touched) {
    const auto peer = m_peers.find(token);
    if (peer != m_peers.end()) {
      peer->second->Advance(aNow);
      continue;
    }
    const auto inbound = m_inbound.find(token);
    if (inbound != m_inbound.end() && !inbound->second->Flush()) {
      m_inbound.erase(inbound);
    }
  }
  m_touched.clear();
}

void PeerTransport::Loop::DeliverReceived() {
  std::vector<Envelope> received;
  received.swap(m_received);
  for (Envelope& envelope : received) {
    m_onMessage(std::move(envelope));
  }
}

void PeerTransport::Loop::CheckTimeouts(Time aNow) {
  if (m_stopping && m_stopBy == kNever) {
    m_stopBy = aNow + kStopLimit;
  }
  if (aNow < m_nextCheck) {
    return;
  }
  m_nextCheck = aNow + kCheckInterval;
  const auto isConnected = [](const auto& aPeer) { return aPeer.second->IsConnected(); };
  const std::size_t connections =
    static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), isConnected));
  const Duration idlePingInterval = IdlePingInterval(connections, m_settings.m_pingInterval);
  for (auto& [token, peer] : m_peers) {
    peer->CheckTimeouts(aNow, idlePingInterval);
  }
  std::erase_if(m_inbound,
                [aNow](const auto& aInbound) { return !aInbound.second->CheckLiveness(aNow); });
  ForgetUnused(aNow);
}

void PeerTransport::Loop::ResetLiveness(Time aNow) {
  for (auto& [token, peer] : m_peers) {
    peer->ResetLiveness(aNow);
  }
  for (auto& [token, inbound] : m_inbound) {
    inbound->ResetLiveness(aNow);
  }
}

void PeerTransport::Loop::ForgetUnused(Time aNow) {
  if (aNow < m_nextForget) {
    return;
  }
  m_nextForget = aNow + kForgetAfter;
  const Time before = aNow - kForgetAfter;
  m_duplicates.Forget(before);
  std::erase_if(m_peerTokens, [this, before](const auto& aPeer) {
    const bool unused = m_peers[aPeer.second]->IsUnusedSince(before);
    if (unused) {
      m_peers.erase(aPeer.second);
    }
    return unused;
  });
}

void PeerTransport::Loop::PublishCounts() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_publishedCounts = m_counts;
}

PeerTransport::PeerTransport(PeerTransportSettings aSettings, OnMessage aOnMessage)
  : m_loop(std::make_unique<Loop>(std::move(aSettings), std::move(aOnMessage))) {}

PeerTransport::~PeerTransport() {
  Stop();
}

Result<int> PeerTransport::Start() {
  return m_loop->Start();
}

void PeerTransport::Stop() {
  m_loop->Stop();
}

void PeerTransport::Send(const EntryId& aTo, const std::string& aStreamAddress, Message aMessage) {
  const PeerTransportSettings& settings = m_loop->Settings();
  const std::uint64_t clock = settings.m_readClock ? settings.m_readClock() : 0;
  std::string bytes = EncodeMessage({settings.m_self, clock, std::move(aMessage)});
  if (bytes.size() > kMaxMessageBytes) {
    m_loop->CountDropped();
    return;
  }
  m_loop->Enqueue({aTo, aStreamAddress, std::move(bytes)});
}

PeerTransportCounts PeerTransport::Counts() const {
  return m_loop->Counts();
}

} // namespace fennelline

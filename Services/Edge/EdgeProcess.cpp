#include "Services/Edge/EdgeProcess.h"

#include "LibRouting/EntryDirectory.h"
#include "LibRouting/PassedOnRequest.h"
#include "LibRouting/ShutdownPolicy.h"
#include "Services/Edge/Hash.h"
#include "Services/Edge/RequestRelay.h"
#include "platform/DirectoryCodec.h"
#include "platform/RequestCodec.h"
#include "platform/SettingsCodec.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace fennelline {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/// Callers may use an address for up to three times its TTL, and a stopping entry keeps serving for
/// a grace period of about eight seconds, so the TTL must be less than a third of that.
constexpr Duration kLookupTtl = Seconds(2);
/// Maximum number of addresses that callers accept in a lookup response.
constexpr std::size_t kMaxLookupAddresses = 64;

/// Number of entries that watch the store directly, each in a different data centre. One suffices;
/// if all of them lose contact with the store, other entries take over.
constexpr std::size_t kStoreWatchers = 2;

/// When the whole system starts for the first time, entries discover each other before they
/// contact the store.
constexpr Duration kFirstStartDelay = Milliseconds(600);
constexpr Duration kRestartDelay = Milliseconds(5);

/// First byte of a message between entries: its type.
constexpr char kLoadMessageType = 'L';
constexpr char kRolloutMessageType = 'R';
constexpr char kCrashMessageType = 'C';
/// "ADDRESS REVISION [ERA]": the sender's peer address, the latest store revision that it knows and
/// its era, if the store names one.
constexpr char kRevisionMessageType = 'V';
/// Messages created within this time are sent together.
constexpr Duration kPeerMessageDelay = Milliseconds(5);

constexpr Duration kLogFlushInterval = Milliseconds(100);
constexpr Duration kStopCheckInterval = Milliseconds(50);

constexpr std::size_t kMaxInternalChannels = 500;

/// Headers that an entry adds to a request that it passes on.
constexpr std::size_t kPassedOnHeaderBytes = 1024;

/// Fraction of the file descriptors for callers; the rest is for backend servers and peers.
constexpr double kCallerDescriptorFraction = 0.6;
/// Fraction of the memory for request bodies. Each is held twice while it is being sent.
constexpr double kBodyMemoryFraction = 0.25;

/// Chooses the entries that watch the store. Deterministic: every entry with the same members,
/// sorted by name, makes the same choice.
std::vector<std::string> ChooseWatchers(const std::vector<MemberDigest>& aMembers) {
  std::vector<std::string> zones;
  std::vector<std::string> watchers;
  for (const MemberDigest& member : aMembers) {
    const bool isNewZone =
      std::find(zones.begin(), zones.end(), member.m_dataCentre) == zones.end();
    if (isNewZone && watchers.size() < kStoreWatchers) {
      zones.push_back(member.m_dataCentre);
      watchers.push_back(member.m_entry);
    }
  }
  return watchers;
}

} // namespace

Result<DeploymentSettings> ReadSettingsFile(const std::string& aPath, std::string& aText) {
  std::ifstream file(aPath);
  if (!file) {
    return MakeError(ErrorCode::NotFound, "cannot read the settings file " + aPath);
  }
  std::ostringstream text;
  text << file.rdbuf();
  aText = text.str();
  return platform::DecodeSettings(aText);
}

EdgeProcess::EdgeProcess(EventLoop& aLoop, EdgeOptions aOptions, DeploymentSettings aSettings)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_log(STDOUT_FILENO, aSettings.m_name)
  , m_context{.m_loop = aLoop,
              .m_settings = std::move(aSettings),
              .m_log = m_log,
              .m_metrics = m_metrics,
              .m_backends = BackendTable(aLoop),
              .m_random = Random(static_cast<std::uint64_t>(
                                   std::chrono::steady_clock::now().time_since_epoch().count()) ^
                                 (static_cast<std::uint64_t>(getpid()) << 32U))}
  , m_storeView(m_context)
  , m_members(
      m_context,
      {.m_onChanged = [this] { OnMembersChanged(); },
       .m_onPeerRevision = [this](const std::string& aPeer,
                                  Revision aRevision) { m_store.OnPeerRevision(aPeer, aRevision); },
       .m_onPeerMessage = [this](const std::string& aMessage) { OnPeerMessage(aMessage); }})
  , m_store(
      m_context,
      [this](const std::vector<KeyValue>& aChanges, const ChangeOrigin& aOrigin) {
        OnStoreChanges(aChanges, aOrigin);
      },
      [this] { AnnounceRevision(); })
  , m_rollouts(m_context, m_storeView, m_members, m_store)
  , m_crashWatch(m_context, m_members, m_store,
                 [this](const std::string& aAddress, const std::string& aMessage) {
                   m_members.SendPeerMessage(aAddress, kCrashMessageType + aMessage);
                 })
  , m_permits(m_context, m_members)
  , m_paths(m_context)
  , m_healthChecks(m_context)
  , m_peers(m_context, m_members)
  , m_room(aLoop)
  , m_overload(m_context)
  , m_sessions(m_context, m_members)
  , m_leaving(m_context, m_members)
  , m_withheld(m_context, m_members, m_storeView)
  , m_speeds(m_context, m_members)
  , m_loopWatch(aLoop, m_log, m_metrics, {.m_node = m_context.m_settings.m_name}) {
  m_context.m_crashWatch = &m_crashWatch;
  m_context.m_permits = &m_permits;
  m_context.m_paths = &m_paths;
  m_context.m_healthChecks = &m_healthChecks;
  m_context.m_peers = &m_peers;
  m_context.m_room = &m_room;
  m_context.m_overload = &m_overload;
  m_context.m_sessions = &m_sessions;
  m_context.m_leaving = &m_leaving;
  m_context.m_speeds = &m_speeds;
  m_rollouts.SetSend([this](const std::string& aAddress, const RolloutReport& aReport) {
    m_members.SendPeerMessage(aAddress, kRolloutMessageType + EncodeRolloutReport(aReport));
  });
  m_context.m_onEvidence = [this](const VersionEvidenceEvent& aEvent) {
    m_rollouts.OnEvidence(aEvent);
  };
  m_context.m_isSlow = [this](const std::string& aKind, Duration aLatency) {
    return m_rollouts.IsSlow(aKind, aLatency);
  };
  m_context.m_isDelayed = [this](const std::string& aKind, Duration aGap) {
    return m_rollouts.IsDelayed(aKind, aGap);
  };
  m_context.m_onLoad = [this](const LoadUpdate& aLoad) {
    m_pendingLoads.push_back(aLoad);
    SchedulePeerMessages();
  };
}

Result<void> EdgeProcess::Start() {
  const DeploymentSettings& settings = m_context.m_settings;
  TRY(m_members.Start());
  TRY(ServeCallers());
  TRY(ServeEntries());
  TRY(Serve(settings.m_readyAddress, [this](const std::shared_ptr<ServerConnection>& aCaller,
                                            const IncomingRequest&) { AnswerReadiness(aCaller); }));
  TRY(Serve(settings.m_directoryAddress,
            [this](const std::shared_ptr<ServerConnection>& aCaller,
                   const IncomingRequest& aRequest) { AnswerLookup(aCaller, aRequest); }));
  TRY(Serve(settings.m_peerAddress,
            [this](const std::shared_ptr<ServerConnection>& aPeer,
                   const IncomingRequest& aRequest) { AnswerPeer(aPeer, aRequest); }));
  if (m_options.m_metricsPort != 0) {
    TRY(Serve(settings.m_ip + ":" + std::to_string(m_options.m_metricsPort),
              [this](const std::shared_ptr<ServerConnection>& aCaller, const IncomingRequest&) {
                AnswerMetrics(aCaller);
              }));
  }
  LogLine line("start");
  line.Text("zone", settings.m_zone).Text("callers-at", settings.m_callerAddress);
  line.Text("store", settings.m_storeAddress).Flag("first-start", settings.m_isFirstStart);
  line.Text("member", m_members.Self().m_entry);
  m_context.Log(LogPriority::Notable, line);
  m_members.AddSeeds(SeedAddresses());
  m_store.Start(settings.m_isFirstStart ? kFirstStartDelay : kRestartDelay);
  m_rollouts.Start();
  m_crashWatch.Start();
  m_permits.Start();
  m_loopWatch.Start();
  m_loop.Every(kLogFlushInterval, [this] { OnFlushTimer(); });
  m_loop.Every(Seconds(1), [this] { OnSecondTimer(); });
  return {};
}

std::vector<std::string> EdgeProcess::SeedAddresses() const {
  std::vector<std::string> addresses;
  for (const std::string& seed : m_context.m_settings.m_seeds) {
    // Seeds are peer addresses (TCP); the datagram port is the same on every machine.
    addresses.push_back(seed.substr(0, seed.rfind(':')) + ":" +
                        std::to_string(m_context.m_settings.m_datagramPort));
  }
  return addresses;
}

Result<void> EdgeProcess::Serve(const std::string& aAddress, Handler aHandler) {
  std::shared_ptr<ServerContext> context = std::make_shared<ServerContext>();
  context->m_onRequest = [handler = std::move(aHandler)](
                           const std::shared_ptr<ServerConnection>& aChannel,
                           const IncomingRequest& aRequest) { handler(aChannel, aRequest); };
  std::unique_ptr<HttpServer> server =
    std::make_unique<HttpServer>(m_loop, std::move(context), kMaxInternalChannels);
  TRY(server->Listen(aAddress));
  m_servers.push_back(std::move(server));
  return {};
}

Result<void> EdgeProcess::ServeCallers() {
  std::shared_ptr<ServerContext> context = std::make_shared<ServerContext>();
  context->m_onRequest = [this](const std::shared_ptr<ServerConnection>& aCaller,
                                IncomingRequest aRequest) {
    RequestRelay::Start(m_context, aCaller, std::move(aRequest), std::nullopt);
  };
  context->m_onRejected = [this](int aStatus, std::string_view aReason) {
    LogLine line("rejected");
    line.Text("id", "").Count("status", aStatus).Text("reason", aReason);
    m_context.Log(LogPriority::Notable, line);
    m_metrics.OnRequestEnded(RouteKind::NonIdempotent, RequestEnd::Rejected);
  };
  context->m_onRejectedForNow = [this](HeaderList& aHeaders) {
    platform::AddRetryAfter(aHeaders, SpreadRetryAfter(m_context.m_random));
  };
  context->m_bodies->m_maxBytes = static_cast<std::size_t>(
    static_cast<double>(m_context.m_settings.m_memoryBytes) * kBodyMemoryFraction);
  m_callers = std::make_unique<HttpServer>(
    m_loop, std::move(context),
    static_cast<std::size_t>(static_cast<double>(m_context.m_settings.m_maxDescriptors) *
                             kCallerDescriptorFraction));
  return m_callers->Listen(m_context.m_settings.m_callerAddress);
}

Result<void> EdgeProcess::ServeEntries() {
  std::shared_ptr<ServerContext> context = std::make_shared<ServerContext>();
  context->m_onRequest = [this](const std::shared_ptr<ServerConnection>& aPeer,
                                IncomingRequest aRequest) {
    const Result<PassedOnRequest> passedOn = TakePassedOn(aRequest.m_head.m_headers);
    if (passedOn.IsError()) {
      LogLine line("rejected");
      line.Text("id", "").Count("status", kBadRequest).Text("reason", passedOn.GetError().m_detail);
      m_context.Log(LogPriority::Notable, line);
      aPeer->SendResponse({.m_status = kBadRequest, .m_headers = {}}, {});
      return;
    }
    RequestRelay::Start(m_context, aPeer, std::move(aRequest), passedOn.Get());
  };
  context->m_bodies = m_callers->SharedContext().m_bodies;
  m_entries = std::make_unique<HttpServer>(m_loop, std::move(context), kMaxInternalChannels);
  const DeploymentSettings& settings = m_context.m_settings;
  return m_entries->Listen(settings.m_ip + ":" + std::to_string(settings.m_datagramPort));
}

void EdgeProcess::OnStoreChanges(const std::vector<KeyValue>& aChanges,
                                 const ChangeOrigin& aOrigin) {
  m_storeView.OnStoreChanges(aChanges, aOrigin, m_store.Mirror());
  if (aOrigin.m_isReturn) {
    m_withheld.OnReturn();
  }
  m_members.SetRevision(m_store.Mirror().LastChange());
  ApplyLimits();
  UpdateReadiness();
  if (m_context.m_routes) {
    const std::vector<std::function<void()>> waiting =
      std::exchange(m_context.m_waitingForConfiguration, {});
    for (const std::function<void()>& resume : waiting) {
      resume();
    }
  }
}

void EdgeProcess::ApplyLimits() {
  if (!m_context.m_routes) {
    return;
  }
  const CallerLimits& limits = m_context.m_routes->Configuration().m_limits;
  m_callers->SharedContext().m_limits = {.m_headerBytes = limits.m_headerBytes,
                                         .m_bodyBytes = limits.m_bodyBytes,
                                         .m_headerTime = limits.m_headerTime,
                                         .m_idleTime = limits.m_idleTime};
  ServerLimits entryLimits = m_callers->SharedContext().m_limits;
  entryLimits.m_headerBytes += kPassedOnHeaderBytes;
  m_entries->SharedContext().m_limits = entryLimits;
}

bool EdgeProcess::IsReady() const {
  return m_context.m_routes && !m_context.m_stopRequestedAt;
}

void EdgeProcess::UpdateReadiness() {
  if (m_wasReady == IsReady()) {
    return;
  }
  m_wasReady = IsReady();
  LogLine line(m_wasReady ? "ready" : "not-ready");
  line.Count("configuration", m_context.m_routes ? m_context.m_routes->Version() : 0);
  m_context.Log(LogPriority::Notable, line);
  if (!m_context.m_stopRequestedAt) {
    m_members.SetCallerAddress(m_wasReady ? m_context.m_settings.m_callerAddress : std::string());
  }
}

void EdgeProcess::OnMembersChanged() {
  std::vector<MemberDigest> alive = m_members.All();
  std::erase_if(alive,
                [](const MemberDigest& aMember) { return aMember.m_state != MemberState::Alive; });
  m_context.m_entries = std::max<std::size_t>(1, alive.size());
  m_context.m_ownHash = HashOf(m_members.Self().m_entry);
  m_context.m_entryHashes.clear();
  for (const MemberDigest& member : alive) {
    m_context.m_entryHashes.push_back(HashOf(member.m_entry));
  }
  const std::vector<std::string> watchers = ChooseWatchers(alive);
  const std::string& self = m_members.Self().m_entry;
  std::vector<std::string> near;
  std::vector<std::string> others;
  bool watchesStore = false;
  for (const MemberDigest& member : alive) {
    const bool isWatcher =
      std::find(watchers.begin(), watchers.end(), member.m_entry) != watchers.end();
    if (member.m_entry == self) {
      watchesStore = isWatcher;
    } else if (isWatcher && member.m_dataCentre == m_context.m_settings.m_zone) {
      near.insert(near.begin(), member.m_streamAddress);
    } else {
      (isWatcher ? near : others).push_back(member.m_streamAddress);
    }
  }
  m_store.SetPeers(watchesStore, std::move(near), std::move(others));
  m_crashWatch.OnMembersChanged();
  m_permits.OnMembersChanged();
  m_sessions.OnMembersChanged();
  m_peers.OnMembersChanged();
  m_withheld.OnMembersChanged();
}

void EdgeProcess::OnPeerMessage(const std::string& aMessage) {
  if (aMessage.starts_with(kCrashMessageType)) {
    m_crashWatch.OnPeerMessage(aMessage.substr(1));
    return;
  }
  if (m_permits.OnPeerMessage(aMessage) || m_sessions.OnPeerMessage(aMessage) ||
      m_leaving.OnPeerMessage(aMessage) || m_withheld.OnPeerMessage(aMessage) ||
      m_speeds.OnPeerMessage(aMessage)) {
    return;
  }
  const Time now = m_loop.Now();
  const Result<std::vector<LoadUpdate>> loads = aMessage.starts_with(kLoadMessageType)
                                                  ? DecodeLoadUpdates(aMessage.substr(1))
                                                  : std::vector<LoadUpdate>();
  const Result<RolloutReport> report = aMessage.starts_with(kRolloutMessageType)
                                         ? DecodeRolloutReport(aMessage.substr(1))
                                         : RolloutReport();
  if (loads.IsError() || report.IsError()) {
    LogLine line("note-refused");
    line.Text("mark", aMessage.substr(0, 1)).Count("bytes", aMessage.size());
    m_context.Log(LogPriority::Notable, line);
    return;
  }
  for (const LoadUpdate& load : loads.Get()) {
    const std::shared_ptr<BackendLink> backend = m_context.m_backends.FindIdentity(load.m_backend);
    if (backend) {
      backend->m_prefillLoad.Add(load.m_prefillTime, now);
    }
  }
  if (!report.Get().m_entry.empty()) {
    m_rollouts.OnReport(report.Get());
  }
  if (aMessage.starts_with(kRevisionMessageType)) {
    OnRevisionMessage(aMessage.substr(1));
  }
}

void EdgeProcess::AnnounceRevision() {
  const StoreMirror& mirror = m_store.Mirror();
  std::string message = kRevisionMessageType + m_context.m_settings.m_peerAddress + " " +
                        std::to_string(mirror.LastChange());
  if (mirror.Era()) {
    message += " " + std::to_string(*mirror.Era());
  }
  m_members.SendToSome(m_context.m_entries, message);
}

void EdgeProcess::OnRevisionMessage(const std::string& aMessage) {
  std::istringstream fields(aMessage);
  std::string peer;
  Revision revision = 0;
  if (!(fields >> peer >> revision)) {
    return;
  }
  StoreEra era = 0;
  const bool hasEra = static_cast<bool>(fields >> era);
  m_store.OnPeerStoreContact(peer, revision, hasEra ? std::optional<StoreEra>(era) : std::nullopt);
}

void EdgeProcess::SchedulePeerMessages() {
  if (!std::exchange(m_peerMessagesScheduled, true)) {
    m_loop.After(kPeerMessageDelay, [this] { SendPeerMessages(); });
  }
}

void EdgeProcess::SendPeerMessages() {
  m_peerMessagesScheduled = false;
  if (!m_pendingLoads.empty()) {
    const std::size_t receivers = m_loadBudget.OnAnnouncement(m_context.m_entries, m_loop.Now());
    m_members.SendToSome(receivers,
                         kLoadMessageType + EncodeLoadUpdates(std::exchange(m_pendingLoads, {})));
  }
}

void EdgeProcess::AnswerLookup(const std::shared_ptr<ServerConnection>& aCaller,
                               const IncomingRequest& aRequest) {
  std::string zone;
  if (!platform::IsLookup(aRequest.m_head.m_target, zone)) {
    aCaller->SendResponse({.m_status = kNotFound, .m_headers = {}}, {});
    return;
  }
  std::vector<DirectoryEntry> entries;
  for (const MemberDigest& member : m_members.All()) {
    if (member.m_state == MemberState::Alive && !member.m_callerAddress.empty()) {
      entries.push_back({.m_address = member.m_callerAddress, .m_zone = member.m_dataCentre});
    }
  }
  const std::vector<std::string> chosen = ChooseEntries(entries, zone, kMaxLookupAddresses);
  ResponseHead head{.m_status = chosen.empty() ? kUnavailable : kOk, .m_headers = {}};
  head.m_headers.Add("Content-Type", "application/json");
  const Duration keepFor = std::min(kLookupTtl, m_context.m_settings.m_addressListTtl);
  aCaller->SendResponse(head,
                        chosen.empty() ? std::string() : platform::EncodeLookup(chosen, keepFor));
}

void EdgeProcess::AnswerReadiness(const std::shared_ptr<ServerConnection>& aCaller) {
  aCaller->SendResponse({.m_status = IsReady() ? kOk : kUnavailable, .m_headers = {}}, {});
}

void EdgeProcess::AnswerPeer(const std::shared_ptr<ServerConnection>& aPeer,
                             const IncomingRequest& aRequest) {
  const std::string_view target = aRequest.m_head.m_target;
  if (m_store.AnswerPeer(aPeer, aRequest)) {
    return;
  }
  if (target.starts_with("/metrics")) {
    AnswerMetrics(aPeer);
    return;
  }
  aPeer->SendResponse({.m_status = kNotFound, .m_headers = {}}, {});
}

void EdgeProcess::AnswerMetrics(const std::shared_ptr<ServerConnection>& aCaller) {
  m_metrics.SetGauges(m_callers->CountConnections(), m_context.m_backends.CountChannels(),
                      m_context.m_entries, m_context.m_routes ? m_context.m_routes->Version() : 0,
                      m_loop.Now() - m_context.m_storeConfirmedAt);
  m_metrics.SetRefusedContents(m_crashWatch.CountRefused());
  m_metrics.SetLimitedServers(m_permits.CountLimited());
  m_metrics.SetColdServers(m_permits.CountCold());
  m_metrics.SetSlowServers(m_speeds.CountSlow());
  m_metrics.SetServerWishes(m_context.m_backends.CountLeaving(),
                            m_context.m_backends.CountLeftAlone());
  m_metrics.SetLostPaths(m_paths.CountLost());
  m_overload.UpdateMetrics();
  int running = 0;
  for (const std::shared_ptr<BackendLink>& backend : m_context.m_backends.All()) {
    running += m_context.IsEvacuated(*backend) ? backend->m_runningRequests : 0;
  }
  m_metrics.SetEvacuation(m_context.m_evacuated.Count(), running);
  ResponseHead head{.m_status = kOk, .m_headers = {}};
  head.m_headers.Add("Content-Type", "text/plain; version=0.0.4");
  aCaller->SendResponse(head, m_metrics.Text());
}

void EdgeProcess::OnFlushTimer() {
  m_loopWatch.OnTimer(kLogFlushInterval, m_loop.Now());
  m_log.Flush();
}

void EdgeProcess::OnSecondTimer() {
  m_context.m_backends.Sweep();
  m_peers.Sweep();
  m_speeds.OnSecond();
  std::string text;
  static_cast<void>(ReadSettingsFile(m_options.m_settingsPath, text));
  if (!text.empty() && text != m_options.m_settingsText) {
    Reload();
  }
}

void EdgeProcess::Reload() {
  std::string text;
  const Result<DeploymentSettings> settings = ReadSettingsFile(m_options.m_settingsPath, text);
  m_options.m_settingsText = text;
  LogLine line("reload");
  if (settings.IsError()) {
    line.Flag("accepted", false).Text("reason", settings.GetError().m_detail);
    m_context.Log(LogPriority::Notable, line);
    return;
  }
  // Listening addresses do not change until a restart; bounds and seeds apply immediately.
  m_context.m_settings = settings.Get();
  m_members.AddSeeds(SeedAddresses());
  m_storeView.OnSettingsChanged(m_store.Mirror());
  line.Flag("accepted", true).Ms("grace", m_context.m_settings.m_grace);
  m_context.Log(LogPriority::Notable, line);
}

void EdgeProcess::Stop() {
  if (m_context.m_stopRequestedAt) {
    return;
  }
  m_context.m_stopRequestedAt = m_loop.Now();
  LogLine line("stop");
  line.Count("requests-in-hand", m_callers->CountUnfinished() + m_entries->CountUnfinished());
  m_context.Log(LogPriority::Notable, line);
  m_callers->SharedContext().m_closing = true;
  m_entries->SharedContext().m_closing = true;
  UpdateReadiness();
  m_members.Leave();
  m_loop.Every(kStopCheckInterval, [this] { CheckStop(); });
}

void EdgeProcess::CheckStop() {
  const ShutdownPolicy policy{.m_grace = m_context.m_settings.m_grace};
  const Duration since = m_loop.Now() - *m_context.m_stopRequestedAt;
  if (policy.MustGiveUp(since)) {
    m_callers->GiveUp();
    m_entries->GiveUp();
  }
  const std::size_t inHand = m_callers->CountUnfinished() + m_entries->CountUnfinished();
  if (!policy.MayExit(inHand, since) && !policy.MustGiveUp(since)) {
    return;
  }
  if (m_callers->IsListening()) {
    // The connections accepted last may have sent requests, which the next turns of the loop read.
    m_callers->StopListening();
    m_entries->StopListening();
    return;
  }
  if (!policy.MayExit(inHand, since)) {
    return;
  }
  LogLine line("end");
  line.Count("requests-in-hand", inHand).Ms("since-stop", since);
  m_context.Log(LogPriority::Notable, line);
  m_log.Flush();
  m_loop.Stop();
}

} // namespace fennelline

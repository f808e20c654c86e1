#include "Services/Edge/StoreClient.h"

#include "Services/Edge/StoreReply.h"
#include "platform/StoreCodec.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace fennelline {

namespace {

constexpr int kOk = 200;

/// Long-poll time of a watch at the store. Each call is billed, but its return also shows that the
/// store is available; without that, an outage would not be detected.
constexpr Duration kStoreWatchWait = Seconds(1);
/// Response time of the store in addition to the long poll: usually milliseconds, up to a second
/// when it is slow. TCP errors reveal an unreachable store sooner.
constexpr Duration kStoreAnswerTime = Seconds(2);
/// Long-poll time of a watch at a peer, where calls are cheap. It bounds the age of what is known
/// of the store through the peer.
constexpr Duration kPeerWatchWait = Milliseconds(400);
/// The last store response of a watcher is at most as old as the long poll. If it is older, the
/// watcher has lost the store.
constexpr Duration kMaxStoreContactAge = kStoreWatchWait + Milliseconds(150);
/// How long a peer may take to answer beyond the long poll. Usually it takes a few milliseconds;
/// only an overloaded one takes longer.
constexpr Duration kPeerAnswerTime = Milliseconds(700);
/// A peer whose answer is later than this is still waited for, but another source is asked as well.
constexpr Duration kPeerOverdueTime = Milliseconds(150);
/// The same for the source that is asked then. Both watching entries may be busy applying a large
/// configuration, which takes up to 0.42 s; together they have the full answer time.
constexpr Duration kProbeOverdueTime = kPeerAnswerTime - kPeerOverdueTime;

/// Leases of backend servers last several heartbeats, so a shorter outage does not expire any.
constexpr Duration kMinOutage = Seconds(2);

/// Changes up to a newer revision announced by a peer are fetched from it unless they arrive
/// through the running watch within this time.
constexpr Duration kPropagationDelay = Milliseconds(100);

/// Backend servers whose records expired during an outage register again within about two seconds,
/// as the platform's operators state.
constexpr Duration kReregistrationWindow = Milliseconds(2500);

/// Changes often come in bursts, and each watch that returns is billed: changes within this time
/// are read by one watch. It is short compared to the second or more that a change may take.
constexpr Duration kCoalescingDelay = Milliseconds(80);

/// The largest value of the store as its answers hold it, in base64.
constexpr double kLargestValueBytes = 1'048'576 * 4.0 / 3.0;
/// Entries whose link takes longer for it watch the backend servers by themselves as well.
constexpr std::chrono::duration<double> kMaxLargeTransfer = Milliseconds(250);

constexpr Duration kNoSourceRetryDelay = Milliseconds(50);
/// The shortest long poll, and interval of checks of a call to a peer.
constexpr Duration kMinPeerWait = Milliseconds(50);

/// A silent peer must not keep changes that others announce from being fetched.
constexpr std::size_t kMaxFetches = 3;

/// Updates of the mirror that are larger, or take longer to receive or to apply, are logged.
constexpr std::size_t kLoggedUpdateBytes = 16UL * 1024;
constexpr Duration kLoggedUpdateTime = Milliseconds(100);

constexpr std::string_view kStoreName = "store";

/// Larger values are fetched separately from updates. A backend server's entry has some 300 bytes.
constexpr std::size_t kMaxInlineBytes = 4096;

constexpr std::string_view kMirrorPath = "/v1/mirror";

std::int64_t QueryNumber(std::string_view aTarget, std::string_view aName) {
  const std::size_t position = aTarget.find(std::string(aName) + "=");
  std::int64_t number = 0;
  if (position != std::string_view::npos) {
    const std::string_view text = aTarget.substr(position + aName.size() + 1);
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

std::string PeerQuery(const StoreMirror& aMirror, Duration aWait, const std::string& aPeer) {
  HeaderList headers;
  headers.Add("Host", aPeer);
  std::string target = std::string(kMirrorPath) + "?after=" + std::to_string(aMirror.AsOf()) +
                       "&last-known=" + std::to_string(aMirror.LastChange()) +
                       "&wait-ms=" + std::to_string(InMilliseconds(aWait)) +
                       "&max-value-bytes=" + std::to_string(kMaxInlineBytes);
  if (aMirror.Era()) {
    target += "&era=" + std::to_string(*aMirror.Era());
  }
  return WriteRequest("GET", target, headers, {});
}

} // namespace

StoreClient::StoreClient(EdgeContext& aContext, OnStoreChanges aOnStoreChanges,
                         std::function<void()> aOnWatchResult)
  : m_context(aContext)
  , m_onStoreChanges(std::move(aOnStoreChanges))
  , m_onWatchResult(std::move(aOnWatchResult))
  , m_source(aContext.m_random.Next())
  , m_calls(aContext.m_loop)
  , m_largeValues(aContext, m_calls, m_mirror,
                  [this](const KeyValue& aValue) { OnLargeValue(aValue); }) {}

void StoreClient::Start(Duration aDelay) {
  ScheduleSync(aDelay);
}

void StoreClient::SetPeers(bool aWatchesStore, std::vector<std::string> aNear,
                           std::vector<std::string> aOthers) {
  std::vector<std::string> all = aNear;
  all.insert(all.end(), aOthers.begin(), aOthers.end());
  m_largeValues.SetPeers(std::move(all));
  m_source.SetPeers(aWatchesStore, std::move(aNear), std::move(aOthers));
}

void StoreClient::ScheduleSync(Duration aDelay) {
  m_context.m_loop.Cancel(m_nextSync);
  m_nextSync = m_context.m_loop.After(aDelay, [this] {
    m_nextSync = EventLoop::kNoTimer;
    Sync();
  });
}

bool StoreClient::IsStoreContactStale() const {
  return m_mirror.HasListing() && m_context.m_loop.Now() - m_storeContactAt > kMaxStoreContactAge;
}

void StoreClient::OnStoreContact(Time aAnsweredAt) {
  m_storeContactAt = std::max(m_storeContactAt, aAnsweredAt);
  if (m_loggedStaleContact && !IsStoreContactStale()) {
    m_loggedStaleContact = false;
    LogLine line("store-contact-regained");
    line.Count("as-of", m_mirror.AsOf());
    m_context.Log(LogPriority::Notable, line);
  }
}

void StoreClient::LogStaleContact() {
  if (m_loggedStaleContact || !IsStoreContactStale()) {
    return;
  }
  m_loggedStaleContact = true;
  LogLine line("store-contact-lost");
  line.Ms("since", m_context.m_loop.Now() - m_storeContactAt).Count("as-of", m_mirror.AsOf());
  m_context.Log(LogPriority::Notable, line);
}

bool StoreClient::IsStoreUnconfirmed() const {
  const std::optional<Time> silentSince = m_source.WatchersSilentSince();
  return IsStoreContactStale() ||
         (m_mirror.HasListing() && silentSince && m_storeContactAt < *silentSince);
}

Time StoreClient::NextStoreCheck() const {
  if (!m_mirror.HasListing()) {
    return kNever;
  }
  return IsStoreUnconfirmed() ? m_source.FallbackAt().value_or(kNever)
                              : m_storeContactAt + kMaxStoreContactAge;
}

void StoreClient::Sync() {
  if (m_isSyncing) {
    return;
  }
  LogStaleContact();
  const std::optional<MirrorSource::Choice> choice =
    m_source.Choose(IsStoreUnconfirmed(), m_context.m_entries, m_context.m_loop.Now());
  if (choice) {
    SyncWith(*choice);
  } else {
    ScheduleSync(kNoSourceRetryDelay);
  }
}

void StoreClient::SyncWith(const MirrorSource::Choice& aChoice) {
  m_isSyncing = true;
  ++m_sync;
  if (aChoice.m_isStore) {
    SyncWithStore(aChoice);
  } else {
    SyncWithPeer(aChoice);
  }
}

void StoreClient::EndSync() {
  m_isSyncing = false;
  m_context.m_loop.Cancel(std::exchange(m_peerCallTimer, EventLoop::kNoTimer));
}

void StoreClient::SyncWithStore(const MirrorSource::Choice& aChoice) {
  const bool lists = m_needsListing || !m_mirror.HasListing();
  PlatformRequest request = ListKeys{.m_prefix = "", .m_after = m_pageAfter};
  if (!lists) {
    request = WatchKeys{.m_prefix = "",
                        .m_after = m_mirror.AsOf(),
                        .m_waitMilliseconds = InMilliseconds(kStoreWatchWait)};
  }
  const Time sent = m_context.m_loop.Now();
  m_calls.Send(m_context.m_settings.m_storeAddress,
               platform::EncodeStoreCall(request, m_context.m_settings.m_storeAddress),
               kStoreAnswerTime + (lists ? Duration(0) : kStoreWatchWait),
               [this, aChoice, request, sent](const CallResponse& aResponse) {
                 OnStoreAnswer(aChoice, request, aResponse, sent);
               });
}

void StoreClient::OnStoreAnswer(const MirrorSource::Choice& aChoice,
                                const PlatformRequest& aRequest, const CallResponse& aResponse,
                                Time aSent) {
  EndSync();
  const Time received = SystemClock().Now();
  const PlatformReply reply = ReadStoreReply(m_context, aRequest, aResponse);
  if (!CheckEra(aChoice, aRequest, reply)) {
    ScheduleSync(Duration(0));
    return;
  }
  // Pages of a listing are short, whatever a watch would return.
  const bool isTooLong = aResponse.m_isTooLong && !std::holds_alternative<ListKeys>(aRequest);
  if (reply.m_status == PlatformStatus::HistoryGone || isTooLong) {
    LogSource(isTooLong ? "store-answer-too-long" : "history-gone", aChoice);
    OnStoreContact(m_context.m_loop.Now());
    m_source.OnAnswer(aChoice, m_storeContactAt);
    RestartListing();
    ScheduleSync(Duration(0));
    return;
  }
  if (reply.m_status != PlatformStatus::Ok) {
    if (!m_source.IsStoreFailing()) {
      LogSource("dependency-lost", aChoice);
    }
    m_source.OnFailure(aChoice, m_context.m_loop.Now());
    m_pages.clear();
    m_pageAfter.clear();
    ScheduleSync(Duration(0));
    return;
  }
  if (m_source.IsStoreFailing()) {
    LogSource("dependency-regained", aChoice);
    const Time now = m_context.m_loop.Now();
    if (now - m_storeContactAt >= kMinOutage) {
      m_outageEnded = now;
      m_outageRevision = reply.m_revision;
    }
  }
  OnStoreContact(m_context.m_loop.Now());
  m_source.OnAnswer(aChoice, m_context.m_loop.Now());
  if (std::holds_alternative<ListKeys>(aRequest)) {
    OnPage(reply, aSent);
  } else {
    // The watch has just returned, so its result is current as of now.
    const Time now = m_context.m_loop.Now();
    m_mirror.LearnEra(reply.m_era);
    const std::vector<KeyValue> changedKeys = m_mirror.Apply(reply.m_keys, reply.m_revision, now);
    PublishChanges(changedKeys, OriginAfterOutage(now - m_outageEnded, m_outageRevision));
    // Tells the other entries that they need not replace the failed watcher as well.
    if (!changedKeys.empty() || aChoice.m_isFallback) {
      m_onWatchResult();
    }
  }
  RecordUpdate(kStoreName, aResponse, reply.m_keys.size(), received);
  WatchServers();
  ScheduleSync(reply.m_keys.empty() ? Duration(0) : kCoalescingDelay);
}

bool StoreClient::CheckEra(const MirrorSource::Choice& aChoice, const PlatformRequest& aRequest,
                           const PlatformReply& aReply) {
  const EraOrder order = m_mirror.Compare(aReply.m_era);
  if (order == EraOrder::Earlier) {
    if (!std::exchange(m_loggedEarlierEra, true)) {
      LogLine line("store-era-ignored");
      line.Count("era", *aReply.m_era).Count("known", *m_mirror.Era());
      m_context.Log(LogPriority::Notable, line);
    }
    m_source.OnFailure(aChoice, m_context.m_loop.Now());
    return false;
  }
  const bool isOfNoUse = order == EraOrder::Later && aReply.m_status == PlatformStatus::Ok &&
                         !std::holds_alternative<ListKeys>(aRequest);
  if (isOfNoUse) {
    m_source.OnAnswer(aChoice, m_context.m_loop.Now());
    RestartListing();
  }
  return !isOfNoUse;
}

void StoreClient::RestartListing() {
  m_needsListing = true;
  m_pages.clear();
  m_pageAfter.clear();
}

void StoreClient::OnReturned(std::optional<StoreEra> aEraBefore, std::string_view aSource,
                             const std::vector<KeyValue>& aChanges) {
  m_serversAsOf = 0;
  m_context.m_metrics.OnStoreReturned();
  const std::size_t missing = static_cast<std::size_t>(std::count_if(
    aChanges.begin(), aChanges.end(), [](const KeyValue& aChange) { return aChange.m_removed; }));
  LogLine line("store-returned");
  line.Text("dependency", aSource);
  line.Count("era-before", *aEraBefore).Count("era", *m_mirror.Era());
  line.Count("as-of", m_mirror.AsOf());
  line.Count("keys-differing", aChanges.size() - missing).Count("keys-missing", missing);
  m_context.Log(LogPriority::Notable, line);
}

void StoreClient::WatchServers() {
  const std::chrono::duration<double> largeTransfer(
    kLargestValueBytes / static_cast<double>(m_context.m_settings.m_linkBytesPerSecond));
  if (m_isWatchingServers || !m_source.AsksStore() || !m_mirror.HasListing() ||
      largeTransfer < kMaxLargeTransfer) {
    return;
  }
  m_isWatchingServers = true;
  m_serversAsOf = std::max(m_serversAsOf, m_mirror.AsOf());
  const PlatformRequest request =
    WatchKeys{.m_prefix = platform::MakeKey(platform::KeyKind::Replica, ""),
              .m_after = m_serversAsOf,
              .m_waitMilliseconds = InMilliseconds(kStoreWatchWait)};
  const std::string& store = m_context.m_settings.m_storeAddress;
  m_calls.Send(
    store, platform::EncodeStoreCall(request, store), kStoreAnswerTime + kStoreWatchWait,
    [this, request](const CallResponse& aResponse) { OnServersAnswer(request, aResponse); });
}

void StoreClient::OnServersAnswer(const PlatformRequest& aRequest, const CallResponse& aResponse) {
  m_isWatchingServers = false;
  const PlatformReply reply = ReadStoreReply(m_context, aRequest, aResponse);
  const Time now = m_context.m_loop.Now();
  // After an outage, the watch of all keys decides which servers may only have expired in it. It
  // also begins this watch again.
  const bool mayHaveBeenOut = m_source.IsStoreFailing() || now - m_storeContactAt >= kMinOutage;
  // It also finds out about a later era.
  const bool isOfOtherEra = m_mirror.Compare(reply.m_era) != EraOrder::Same;
  if (reply.m_status != PlatformStatus::Ok || mayHaveBeenOut || isOfOtherEra) {
    return;
  }
  OnStoreContact(now);
  m_serversAsOf = reply.m_revision;
  const std::vector<KeyValue> changes = m_mirror.ApplyAhead(reply.m_keys);
  PublishChanges(changes, OriginAfterOutage(now - m_outageEnded, m_outageRevision));
  if (!changes.empty()) {
    m_onWatchResult();
  }
  m_context.m_loop.After(changes.empty() ? Duration(0) : kCoalescingDelay,
                         [this] { WatchServers(); });
}

void StoreClient::OnPage(const PlatformReply& aReply, Time aSent) {
  const bool isFirst = m_pages.empty() && m_pageAfter.empty();
  if (!isFirst && aReply.m_era != m_pagesEra) {
    RestartListing();
    return;
  }
  m_pagesEra = aReply.m_era;
  // Pages may be of different revisions: the watch continues from the oldest one.
  m_pagesAsOf = isFirst ? aReply.m_revision : std::min(m_pagesAsOf, aReply.m_revision);
  m_pages.insert(m_pages.end(), aReply.m_keys.begin(), aReply.m_keys.end());
  if (aReply.m_hasMore && !aReply.m_keys.empty()) {
    m_pageAfter = aReply.m_keys.back().m_key;
    return;
  }
  m_needsListing = false;
  m_pageAfter.clear();
  const std::vector<KeyValue> pages = std::exchange(m_pages, {});
  const std::optional<StoreEra> eraBefore = m_mirror.Era();
  const bool isReturn = m_mirror.Compare(m_pagesEra) == EraOrder::Later;
  const std::vector<KeyValue> changes =
    m_mirror.ApplyListing(pages, m_pagesAsOf, aSent, m_pagesEra);
  const Time now = m_context.m_loop.Now();
  if (!isReturn) {
    PublishChanges(changes, OriginAfterOutage(now - m_outageEnded, m_outageRevision));
    return;
  }
  m_outageEnded = now;
  m_outageRevision = m_pagesAsOf;
  OnReturned(eraBefore, kStoreName, changes);
  PublishChanges(changes, {.m_lapsedUpTo = m_pagesAsOf, .m_isReturn = true});
  m_onWatchResult();
}

void StoreClient::SyncWithPeer(const MirrorSource::Choice& aChoice) {
  const Time sent = m_context.m_loop.Now();
  // An entry that may have to ask the store does not wait longer for a peer than until then.
  const Duration wait = aChoice.m_isProbe
                          ? Duration(0)
                          : std::clamp(NextStoreCheck() - sent, kMinPeerWait, kPeerWatchWait);
  WatchPeerCall(aChoice, sent,
                sent + wait + (aChoice.m_isProbe ? kProbeOverdueTime : kPeerOverdueTime));
  m_calls.Send(
    aChoice.m_peer, PeerQuery(m_mirror, wait, aChoice.m_peer), wait + kPeerAnswerTime,
    [this, aChoice, sent, sync = m_sync](const CallResponse& aResponse) {
      OnPeerAnswer(aChoice, aResponse, sent, sync);
    },
    [this, sync = m_sync] {
      // From now on, the call itself ends when the transfer stalls.
      if (sync == m_sync) {
        m_context.m_loop.Cancel(std::exchange(m_peerCallTimer, EventLoop::kNoTimer));
      }
    });
}

void StoreClient::WatchPeerCall(const MirrorSource::Choice& aChoice, Time aSent, Time aOverdueAt) {
  const Time soonest = m_context.m_loop.Now() + kMinPeerWait;
  const Time checkAt = std::min(aOverdueAt, std::max(soonest, NextStoreCheck()));
  m_peerCallTimer = m_context.m_loop.At(checkAt, [this, aChoice, aSent, aOverdueAt] {
    m_peerCallTimer = EventLoop::kNoTimer;
    const Time now = m_context.m_loop.Now();
    if (now >= aOverdueAt) {
      LogLine line("peer-overdue");
      line.Text("dependency", aChoice.m_peer).Ms("waited", now - aSent);
      m_context.Log(LogPriority::Notable, line);
      m_source.OnFailure(aChoice, now);
      EndSync();
      Sync();
      return;
    }
    const std::optional<MirrorSource::Choice> choice =
      m_source.Choose(IsStoreUnconfirmed(), m_context.m_entries, now);
    if (choice && choice->m_isStore) {
      SyncWith(*choice);
    } else {
      WatchPeerCall(aChoice, aSent, aOverdueAt);
    }
  });
}

void StoreClient::OnPeerAnswer(const MirrorSource::Choice& aChoice, const CallResponse& aResponse,
                               Time aSent, std::uint64_t aSync) {
  const bool isAwaited = aSync == m_sync && m_isSyncing;
  if (isAwaited) {
    EndSync();
  }
  const Time received = SystemClock().Now();
  const Result<MirrorUpdate> update = DecodeMirrorUpdate(aResponse.m_body);
  if (aResponse.m_status != kOk || update.IsError()) {
    LogFailedPeer(aChoice, aResponse, aSent);
    m_source.OnFailure(aChoice, m_context.m_loop.Now());
  } else {
    m_source.OnAnswer(aChoice, m_context.m_loop.Now());
    ApplyPeerChanges(aChoice.m_peer, update.Get());
    RecordUpdate(aChoice.m_peer, aResponse, update.Get().m_keys.size(), received);
  }
  if (isAwaited) {
    ScheduleSync(Duration(0));
  }
}

void StoreClient::RecordUpdate(std::string_view aSource, const CallResponse& aResponse,
                               std::size_t aKeys, Time aReceived) {
  const Duration applyTime = SystemClock().Now() - aReceived;
  m_context.m_metrics.OnMirrorUpdate(aResponse.m_body.size(), aResponse.m_transferTime);
  const bool isUsual = aResponse.m_body.size() < kLoggedUpdateBytes &&
                       aResponse.m_transferTime < kLoggedUpdateTime &&
                       applyTime < kLoggedUpdateTime;
  if (isUsual) {
    return;
  }
  LogLine line("mirror-update");
  line.Text("dependency", aSource).Count("bytes", aResponse.m_body.size()).Count("keys", aKeys);
  line.Ms("transfer", aResponse.m_transferTime).Ms("apply", applyTime);
  line.Count("as-of", m_mirror.AsOf());
  line.Ms("belief-age", m_context.m_loop.Now() - m_mirror.ConfirmedAt());
  m_context.Log(LogPriority::Notable, line);
}

void StoreClient::ApplyPeerChanges(const std::string& aPeer, const MirrorUpdate& aUpdate) {
  const Time now = m_context.m_loop.Now();
  const Time confirmedAt = now - aUpdate.m_age;
  const EraOrder order = m_mirror.Compare(aUpdate.m_era);
  // Entries of earlier releases do not say the era, and do not notice that it changes.
  const bool isOfUnknownEra = !aUpdate.m_era && m_mirror.HasChangedEra();
  if (order == EraOrder::Earlier || isOfUnknownEra) {
    return;
  }
  // A store that answers other entries is available, even if it rejects this entry.
  OnStoreContact(now - aUpdate.m_sinceStoreAnswer);
  if (order == EraOrder::Later && aUpdate.m_isListing) {
    const std::optional<StoreEra> eraBefore = m_mirror.Era();
    const std::vector<KeyValue> changes = m_mirror.ApplyUpdate(aUpdate, confirmedAt);
    m_outageEnded = now - aUpdate.m_sinceOutage;
    m_outageRevision = aUpdate.m_outageRevision;
    OnReturned(eraBefore, aPeer, changes);
    const bool mayBeBack = aUpdate.m_sinceOutage < kReregistrationWindow;
    PublishChanges(changes,
                   {.m_lapsedUpTo = mayBeBack ? aUpdate.m_upToRevision : 0, .m_isReturn = true});
    m_largeValues.FetchAwaited(aPeer);
    return;
  }
  const bool isOlder = aUpdate.m_isListing && aUpdate.m_upToRevision < m_mirror.AsOf();
  if (isOlder) {
    return;
  }
  PublishChanges(m_mirror.ApplyUpdate(aUpdate, confirmedAt),
                 OriginAfterOutage(aUpdate.m_sinceOutage, aUpdate.m_outageRevision));
  m_largeValues.FetchAwaited(aPeer);
}

void StoreClient::OnLargeValue(const KeyValue& aValue) {
  if (m_mirror.ApplyLargeValue(aValue)) {
    m_onStoreChanges({aValue}, {});
  }
}

void StoreClient::OnPeerRevision(const std::string& aPeer, Revision aRevision) {
  const bool isFetching = m_fetchingFrom.contains(aPeer) || m_fetchingFrom.size() >= kMaxFetches;
  if (aRevision <= m_mirror.LastChange() || isFetching) {
    return;
  }
  m_fetchingFrom.insert(aPeer);
  const Duration wait = IsStoreUnconfirmed() ? Duration(0) : kPropagationDelay;
  m_context.m_loop.After(wait, [this, aPeer, aRevision] {
    if (aRevision <= m_mirror.LastChange()) {
      m_fetchingFrom.erase(aPeer);
      return;
    }
    FetchFromPeer(aPeer);
  });
}

void StoreClient::OnPeerStoreContact(const std::string& aPeer, Revision aRevision,
                                     std::optional<StoreEra> aEra) {
  const EraOrder order = m_mirror.Compare(aEra);
  const bool isOfUse = order != EraOrder::Earlier && (aEra || !m_mirror.HasChangedEra());
  if (!isOfUse) {
    return;
  }
  if (order == EraOrder::Later) {
    if (m_fetchingFrom.insert(aPeer).second) {
      FetchFromPeer(aPeer);
    }
    return;
  }
  // Several entries may have replaced the failed watchers at the same time. The addresses decide
  // which of them goes on.
  if (aPeer < m_context.m_settings.m_peerAddress) {
    m_source.EndFallback();
  }
  if (aRevision <= m_mirror.LastChange()) {
    OnStoreContact(m_context.m_loop.Now());
    return;
  }
  // The peer's response also contains the age of its last store response.
  OnPeerRevision(aPeer, aRevision);
}

void StoreClient::FetchFromPeer(const std::string& aPeer) {
  const Time sent = m_context.m_loop.Now();
  m_calls.Send(aPeer, PeerQuery(m_mirror, Duration(0), aPeer), kPeerAnswerTime,
               [this, aPeer, sent](const CallResponse& aResponse) {
                 m_fetchingFrom.erase(aPeer);
                 const Time received = SystemClock().Now();
                 const Result<MirrorUpdate> update = DecodeMirrorUpdate(aResponse.m_body);
                 if (aResponse.m_status == kOk && !update.IsError()) {
                   ApplyPeerChanges(aPeer, update.Get());
                   RecordUpdate(aPeer, aResponse, update.Get().m_keys.size(), received);
                 } else {
                   LogFailedPeer({.m_peer = aPeer}, aResponse, sent);
                 }
               });
}

ChangeOrigin StoreClient::OriginAfterOutage(Duration aSinceOutage, Revision aOutageRevision) const {
  return {.m_lapsedUpTo = aSinceOutage < kReregistrationWindow ? aOutageRevision : 0};
}

void StoreClient::PublishChanges(const std::vector<KeyValue>& aChanges,
                                 const ChangeOrigin& aOrigin) {
  m_context.m_storeConfirmedAt = m_mirror.ConfirmedAt();
  if (!aChanges.empty() || aOrigin.m_isReturn) {
    m_onStoreChanges(aChanges, aOrigin);
  }
  // Last, since peers ask at once for a large value that they are told of, and applying one takes a
  // slow entry longer than they wait.
  AnswerWaitingPeers();
}

void StoreClient::SendUpdate(const WaitingPeer& aPeer) const {
  constexpr int kUnavailable = 503;
  // An entry of an earlier release must not miss a value that this one still awaits.
  const bool isComplete = aPeer.m_maxValueBytes || m_mirror.Awaited().empty();
  if (!m_mirror.HasListing() || !isComplete) {
    aPeer.m_channel->SendResponse({.m_status = kUnavailable, .m_headers = {}}, {});
    return;
  }
  const Time now = m_context.m_loop.Now();
  m_context.m_metrics.OnMirrorUpdateSent(!aPeer.m_maxValueBytes);
  MirrorUpdate update = m_mirror.UpdateSince(
    aPeer.m_after, aPeer.m_maxValueBytes.value_or(std::numeric_limits<std::size_t>::max()),
    aPeer.m_era);
  update.m_age = now - m_mirror.ConfirmedAt();
  update.m_sinceOutage = now - m_outageEnded;
  update.m_sinceStoreAnswer = now - m_storeContactAt;
  update.m_outageRevision = m_outageRevision;
  aPeer.m_channel->SendResponse({.m_status = kOk, .m_headers = {}}, EncodeMirrorUpdate(update));
}

bool StoreClient::AnswerPeer(const std::shared_ptr<ServerConnection>& aPeer,
                             const IncomingRequest& aRequest) {
  const std::string_view target = aRequest.m_head.m_target;
  if (!target.starts_with(kMirrorPath)) {
    return m_largeValues.Answer(aPeer, aRequest);
  }
  WaitingPeer peer{.m_channel = aPeer,
                   .m_after = static_cast<Revision>(QueryNumber(target, "after"))};
  if (target.find("last-known=") != std::string_view::npos) {
    peer.m_lastKnown = static_cast<Revision>(QueryNumber(target, "last-known"));
  }
  if (target.find("&era=") != std::string_view::npos) {
    peer.m_era = static_cast<StoreEra>(QueryNumber(target, "era"));
  }
  const std::int64_t maxValueBytes = QueryNumber(target, "max-value-bytes");
  if (maxValueBytes > 0) {
    peer.m_maxValueBytes = static_cast<std::size_t>(maxValueBytes);
  }
  AnswerWatch(std::move(peer), Milliseconds(QueryNumber(target, "wait-ms")));
  return true;
}

void StoreClient::AnswerWatch(WaitingPeer aPeer, Duration aWait) {
  const bool hasChanges =
    !m_mirror.HasListing() || m_mirror.HasUpdate(aPeer.m_after, aPeer.m_lastKnown, aPeer.m_era);
  if (hasChanges || aWait <= Duration(0)) {
    SendUpdate(aPeer);
    return;
  }
  aPeer.m_timer = m_context.m_loop.After(aWait, [this, aPeer] {
    std::erase_if(m_waiting, [&aPeer](const WaitingPeer& aWaiting) {
      return aWaiting.m_channel == aPeer.m_channel;
    });
    SendUpdate(aPeer);
  });
  m_waiting.push_back(std::move(aPeer));
}

void StoreClient::AnswerWaitingPeers() {
  const auto first =
    std::partition(m_waiting.begin(), m_waiting.end(), [this](const WaitingPeer& aPeer) {
      return !m_mirror.HasUpdate(aPeer.m_after, aPeer.m_lastKnown, aPeer.m_era);
    });
  for (auto peer = first; peer != m_waiting.end(); ++peer) {
    m_context.m_loop.Cancel(peer->m_timer);
    SendUpdate(*peer);
  }
  m_waiting.erase(first, m_waiting.end());
}

void StoreClient::Call(const PlatformRequest& aRequest, OnReply aOnReply) {
  m_calls.Send(m_context.m_settings.m_storeAddress,
               platform::EncodeStoreCall(aRequest, m_context.m_settings.m_storeAddress),
               kStoreAnswerTime,
               [this, aRequest, era = m_mirror.Era(),
                onReply = std::move(aOnReply)](const CallResponse& aResponse) {
                 PlatformReply reply = ReadStoreReply(m_context, aRequest, aResponse);
                 const bool isOfOtherEra =
                   era && (era != m_mirror.Era() || (reply.m_era && reply.m_era != era));
                 if (isOfOtherEra) {
                   reply.m_status = PlatformStatus::Unknown;
                 }
                 onReply(reply);
               });
}

void StoreClient::LogFailedPeer(const MirrorSource::Choice& aChoice, const CallResponse& aResponse,
                                Time aSent) const {
  m_context.m_metrics.OnMirrorUpdateAbandoned(aResponse.m_body.size());
  LogLine line("peer-failed");
  line.Text("dependency", aChoice.m_peer).Count("status", aResponse.m_status);
  line.Ms("waited", m_context.m_loop.Now() - aSent);
  line.Count("bytes", aResponse.m_body.size()).Ms("transfer", aResponse.m_transferTime);
  line.Count("as-of", m_mirror.AsOf());
  line.Ms("belief-age", m_context.m_loop.Now() - m_mirror.ConfirmedAt());
  m_context.Log(LogPriority::Notable, line);
}

void StoreClient::LogSource(std::string_view aEvent, const MirrorSource::Choice& aChoice) const {
  LogLine line(aEvent);
  line.Text("dependency", aChoice.m_isStore ? kStoreName : aChoice.m_peer);
  line.Count("as-of", m_mirror.AsOf());
  line.Ms("belief-age", m_context.m_loop.Now() - m_mirror.ConfirmedAt());
  m_context.Log(LogPriority::Notable, line);
}

} // namespace fennelline

#include "Services/Edge/StoreClient.h"

#include "platform/StoreCodec.h"

#include <algorithm>

namespace fennelline {

namespace {

constexpr int kOk = 200;

/// How long a watch waits at the store. Each one that returns is a call that is paid for, but also
/// the proof that the store is there, without which an outage could not be told.
constexpr Duration kStoreWatchWait = Seconds(1);
/// Beyond the wait, the store answers within milliseconds; on a slow day, within a second. A store
/// that is gone is found sooner, by TCP.
constexpr Duration kStoreAnswerTime = Seconds(2);
/// The same at a peer, where calls cost little. What the peer tells of the store is so old at most.
constexpr Duration kPeerWatchWait = Milliseconds(400);
/// A watcher's proof of the store is as old as its watch waits. One that is older means that the
/// watcher has lost the store.
constexpr Duration kLongestProofAge = kStoreWatchWait + Milliseconds(150);
/// Beyond the wait, a peer answers within milliseconds unless it is overloaded.
constexpr Duration kPeerAnswerTime = Milliseconds(700);

/// Leases of backend servers last some heartbeats: a shorter absence of the store ends none.
constexpr Duration kLeastOutage = Seconds(2);

/// A peer that tells a newer revision is asked for it unless the change comes within this time by
/// itself.
constexpr Duration kNewsOnTheWay = Milliseconds(100);

/// Entries of backend servers that ran out during an outage are back within about two seconds, as
/// the platform's operators say.
constexpr Duration kOutageAftermath = Milliseconds(2500);

/// Changes often come in series, and each watch that returns is paid for: those that come within
/// this time are told together. Small against the second or more that a change may take.
constexpr Duration kPauseAfterNews = Milliseconds(80);

constexpr Duration kIdleRetry = Milliseconds(50);

std::string PeerQuery(Revision aAfter, Duration aWait, const std::string& aPeer) {
  HeaderList headers;
  headers.Add("Host", aPeer);
  return WriteRequest("GET",
                      "/v1/mirror?after=" + std::to_string(aAfter) +
                        "&wait-ms=" + std::to_string(InMilliseconds(aWait)),
                      headers, {});
}

} // namespace

StoreClient::StoreClient(EdgeContext& aContext, OnStoreChanges aOnStoreChanges,
                         std::function<void()> aOnWatchResult)
  : m_context(aContext)
  , m_onStoreChanges(std::move(aOnStoreChanges))
  , m_onWatchResult(std::move(aOnWatchResult))
  , m_source(aContext.m_random.Next()) {}

void StoreClient::Start(Duration aDelay) {
  AskSoon(aDelay);
}

void StoreClient::SetPeers(bool aAsksStore, std::vector<std::string> aNear,
                           std::vector<std::string> aOthers) {
  m_source.SetPeers(aAsksStore, std::move(aNear), std::move(aOthers));
}

void StoreClient::AskSoon(Duration aDelay) {
  m_context.m_loop.Cancel(m_nextAsk);
  m_nextAsk = m_context.m_loop.After(aDelay, [this] {
    m_nextAsk = EventLoop::kNoTimer;
    Ask();
  });
}

bool StoreClient::IsUnproved() const {
  return m_mirror.HasListing() && m_context.m_loop.Now() - m_storeProvedAt > kLongestProofAge;
}

void StoreClient::Ask() {
  if (m_asking) {
    return;
  }
  const std::optional<MirrorSource::Choice> choice =
    m_source.Choose(IsUnproved(), m_context.m_entries, m_context.m_loop.Now());
  if (!choice) {
    AskSoon(kIdleRetry);
    return;
  }
  m_asking = true;
  if (choice->m_isStore) {
    AskStore(*choice);
  } else {
    AskPeer(*choice);
  }
}

void StoreClient::AskStore(const MirrorSource::Choice& aChoice) {
  const bool lists = m_needsListing || !m_mirror.HasListing();
  PlatformRequest request = ListKeys{.m_prefix = "", .m_after = m_pageAfter};
  if (!lists) {
    request = WatchKeys{.m_prefix = "",
                        .m_after = m_mirror.AsOf(),
                        .m_waitMilliseconds = InMilliseconds(kStoreWatchWait)};
  }
  const Time sent = m_context.m_loop.Now();
  Send(m_context.m_facts.m_storeAddress,
       platform::EncodeStoreCall(request, m_context.m_facts.m_storeAddress),
       kStoreAnswerTime + (lists ? Duration(0) : kStoreWatchWait),
       [this, aChoice, request, sent](int aStatus, const std::string& aBody) {
         OnStoreAnswer(aChoice, request, platform::DecodeStoreReply(request, aStatus, aBody), sent);
       });
}

void StoreClient::OnStoreAnswer(const MirrorSource::Choice& aChoice,
                                const PlatformRequest& aRequest, const PlatformReply& aReply,
                                Time aSent) {
  m_asking = false;
  m_context.m_metrics.OnStoreCall(aReply.m_status == PlatformStatus::Ok);
  if (aReply.m_status == PlatformStatus::HistoryGone) {
    LogSource("history-gone", aChoice);
    m_storeProvedAt = m_context.m_loop.Now();
    m_source.OnAnswer(aChoice, m_storeProvedAt);
    m_needsListing = true;
    m_pages.clear();
    m_pageAfter.clear();
    AskSoon(Duration(0));
    return;
  }
  if (aReply.m_status != PlatformStatus::Ok) {
    if (!m_source.IsStoreFailing()) {
      LogSource("dependency-lost", aChoice);
    }
    m_source.OnFailure(aChoice, m_context.m_loop.Now());
    m_pages.clear();
    m_pageAfter.clear();
    AskSoon(Duration(0));
    return;
  }
  if (m_source.IsStoreFailing()) {
    LogSource("dependency-regained", aChoice);
    const Time now = m_context.m_loop.Now();
    m_outageEnded = now - m_storeProvedAt >= kLeastOutage ? now : m_outageEnded;
  }
  m_storeProvedAt = m_context.m_loop.Now();
  m_source.OnAnswer(aChoice, m_context.m_loop.Now());
  if (std::holds_alternative<ListKeys>(aRequest)) {
    OnPage(aReply, aSent);
  } else {
    // The watch has just returned, so what it told is of now.
    const Time now = m_context.m_loop.Now();
    const std::vector<KeyValue> news = m_mirror.Apply(aReply.m_keys, aReply.m_revision, now);
    Tell(news, now - m_outageEnded);
    // Others need not stand in as well once they hear of it.
    if (!news.empty() || aChoice.m_isStandIn) {
      m_onWatchResult();
    }
  }
  AskSoon(aReply.m_keys.empty() ? Duration(0) : kPauseAfterNews);
}

void StoreClient::OnPage(const PlatformReply& aReply, Time aSent) {
  // Pages are not of one moment: the watch goes on from the oldest.
  m_pagesAsOf = m_pages.empty() && m_pageAfter.empty() ? aReply.m_revision
                                                       : std::min(m_pagesAsOf, aReply.m_revision);
  m_pages.insert(m_pages.end(), aReply.m_keys.begin(), aReply.m_keys.end());
  if (aReply.m_hasMore && !aReply.m_keys.empty()) {
    m_pageAfter = aReply.m_keys.back().m_key;
    return;
  }
  m_needsListing = false;
  m_pageAfter.clear();
  const std::vector<KeyValue> pages = std::exchange(m_pages, {});
  Tell(m_mirror.ApplyListing(pages, m_pagesAsOf, aSent), m_context.m_loop.Now() - m_outageEnded);
}

void StoreClient::AskPeer(const MirrorSource::Choice& aChoice) {
  const Time sent = m_context.m_loop.Now();
  Send(aChoice.m_peer, PeerQuery(m_mirror.AsOf(), kPeerWatchWait, aChoice.m_peer),
       kPeerWatchWait + kPeerAnswerTime,
       [this, aChoice, sent](int aStatus, const std::string& aBody) {
         OnPeerAnswer(aChoice, aStatus, aBody, sent);
       });
}

void StoreClient::OnPeerAnswer(const MirrorSource::Choice& aChoice, int aStatus,
                               const std::string& aBody, Time aSent) {
  m_asking = false;
  const Result<MirrorNews> news = DecodeMirrorNews(aBody);
  if (aStatus != kOk || news.IsError()) {
    LogSource("peer-failed", aChoice);
    m_source.OnFailure(aChoice, m_context.m_loop.Now());
    AskSoon(Duration(0));
    return;
  }
  m_source.OnAnswer(aChoice, m_context.m_loop.Now());
  TakePeerNews(news.Get(), aSent);
  AskSoon(Duration(0));
}

void StoreClient::TakePeerNews(const MirrorNews& aNews, Time aSent) {
  const Time knownAt = std::max(aSent, m_context.m_loop.Now() - aNews.m_age);
  // A store that serves others is not away, though it may turn this entry away.
  m_storeProvedAt = std::max(m_storeProvedAt, m_context.m_loop.Now() - aNews.m_sinceStoreProof);
  const bool isOlder = aNews.m_isListing && aNews.m_asOf < m_mirror.AsOf();
  if (isOlder) {
    return;
  }
  Tell(aNews.m_isListing ? m_mirror.ApplyListing(aNews.m_keys, aNews.m_asOf, knownAt)
                         : m_mirror.Apply(aNews.m_keys, aNews.m_asOf, knownAt),
       aNews.m_sinceOutage);
}

void StoreClient::OnPeerRevision(const std::string& aPeer, Revision aRevision) {
  if (aRevision <= m_mirror.LastChange() || m_fetching) {
    return;
  }
  m_fetching = true;
  const Duration wait = IsUnproved() ? Duration(0) : kNewsOnTheWay;
  m_context.m_loop.After(wait, [this, aPeer, aRevision] {
    if (aRevision <= m_mirror.LastChange()) {
      m_fetching = false;
      return;
    }
    FetchFrom(aPeer);
  });
}

void StoreClient::OnPeerStoreContact(const std::string& aPeer, Revision aRevision) {
  if (aRevision <= m_mirror.LastChange()) {
    m_storeProvedAt = m_context.m_loop.Now();
    return;
  }
  // What is fetched tells the proof's age as well.
  OnPeerRevision(aPeer, aRevision);
}

void StoreClient::FetchFrom(const std::string& aPeer) {
  const Time sent = m_context.m_loop.Now();
  Send(aPeer, PeerQuery(m_mirror.AsOf(), Duration(0), aPeer), kPeerAnswerTime,
       [this, sent](int aStatus, const std::string& aBody) {
         m_fetching = false;
         const Result<MirrorNews> news = DecodeMirrorNews(aBody);
         if (aStatus == kOk && !news.IsError()) {
           TakePeerNews(news.Get(), sent);
         }
       });
}

void StoreClient::Tell(const std::vector<KeyValue>& aNews, Duration aSinceOutage) {
  m_context.m_storeConfirmedAt = m_mirror.KnownAt();
  if (!aNews.empty()) {
    m_onStoreChanges(aNews, aSinceOutage < kOutageAftermath);
    AnswerWaitingPeers();
  }
}

std::string StoreClient::NewsSince(Revision aAfter) const {
  const Time now = m_context.m_loop.Now();
  MirrorNews news{.m_asOf = m_mirror.AsOf(),
                  .m_age = now - m_mirror.KnownAt(),
                  .m_sinceOutage = now - m_outageEnded,
                  .m_sinceStoreProof = now - m_storeProvedAt};
  std::optional<std::vector<KeyValue>> changes = m_mirror.ChangesSince(aAfter);
  news.m_isListing = !changes;
  news.m_keys = changes ? std::move(*changes) : m_mirror.Listing();
  return EncodeMirrorNews(news);
}

void StoreClient::AnswerPeer(const std::shared_ptr<ServerChannel>& aPeer, Revision aAfter,
                             Duration aWait) {
  constexpr int kUnavailable = 503;
  if (!m_mirror.HasListing()) {
    aPeer->Answer({.m_status = kUnavailable, .m_headers = {}}, {});
    return;
  }
  const bool hasNews = m_mirror.LastChange() > aAfter;
  if (hasNews || aWait <= Duration(0)) {
    aPeer->Answer({.m_status = kOk, .m_headers = {}}, NewsSince(aAfter));
    return;
  }
  const EventLoop::TimerId timer = m_context.m_loop.After(aWait, [this, aPeer, aAfter] {
    std::erase_if(m_waiting,
                  [&aPeer](const WaitingPeer& aWaiting) { return aWaiting.m_channel == aPeer; });
    aPeer->Answer({.m_status = kOk, .m_headers = {}}, NewsSince(aAfter));
  });
  m_waiting.push_back({.m_channel = aPeer, .m_after = aAfter, .m_timer = timer});
}

void StoreClient::AnswerWaitingPeers() {
  const std::vector<WaitingPeer> waiting = std::exchange(m_waiting, {});
  for (const WaitingPeer& peer : waiting) {
    m_context.m_loop.Cancel(peer.m_timer);
    peer.m_channel->Answer({.m_status = kOk, .m_headers = {}}, NewsSince(peer.m_after));
  }
}

void StoreClient::Call(const PlatformRequest& aRequest, OnReply aOnReply) {
  Send(m_context.m_facts.m_storeAddress,
       platform::EncodeStoreCall(aRequest, m_context.m_facts.m_storeAddress), kStoreAnswerTime,
       [this, aRequest, onReply = std::move(aOnReply)](int aStatus, const std::string& aBody) {
         const PlatformReply reply = platform::DecodeStoreReply(aRequest, aStatus, aBody);
         m_context.m_metrics.OnStoreCall(reply.m_status == PlatformStatus::Ok);
         onReply(reply);
       });
}

ClientPool& StoreClient::PoolOf(const std::string& aAddress) {
  std::unique_ptr<ClientPool>& pool = m_pools[aAddress];
  if (!pool) {
    pool =
      std::make_unique<ClientPool>(m_context.m_loop, ClientPoolSettings{.m_address = aAddress});
  }
  return *pool;
}

void StoreClient::Send(const std::string& aAddress, const std::string& aBytes, Duration aTimeout,
                       std::function<void(int, const std::string&)> aOnDone) {
  ClientPool& pool = PoolOf(aAddress);
  const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
  exchange->m_onDone = std::move(aOnDone);
  exchange->m_pool = &pool;
  Result<std::shared_ptr<ClientChannel>> channel = pool.Take(false);
  if (channel.IsError()) {
    m_context.m_loop.Post([exchange] { exchange->m_onDone(0, {}); });
    return;
  }
  exchange->m_channel = channel.Take();
  exchange->m_timer =
    m_context.m_loop.After(aTimeout, [this, exchange] { Finish(exchange, false); });
  CallListener listener;
  listener.m_onHead = [exchange](const MessageHead& aHead) {
    exchange->m_status = aHead.m_status;
    return HeadVerdict::Take;
  };
  listener.m_onBody = [exchange](const std::string& aPart) { exchange->m_body += aPart; };
  listener.m_onComplete = [this, exchange] { Finish(exchange, true); };
  listener.m_onFailed = [this, exchange](CallFailure) { Finish(exchange, false); };
  exchange->m_channel->Send(aBytes, false, std::move(listener));
}

void StoreClient::Finish(const std::shared_ptr<Exchange>& aExchange, bool aIsWhole) {
  m_context.m_loop.Cancel(std::exchange(aExchange->m_timer, EventLoop::kNoTimer));
  const std::shared_ptr<ClientChannel> channel = std::move(aExchange->m_channel);
  aExchange->m_pool->GiveBack(channel);
  aExchange->m_onDone(aIsWhole ? aExchange->m_status : 0, aExchange->m_body);
}

void StoreClient::LogSource(std::string_view aEvent, const MirrorSource::Choice& aChoice) const {
  LogLine line(aEvent);
  line.Text("dependency", aChoice.m_isStore ? "store" : aChoice.m_peer);
  line.Count("as-of", m_mirror.AsOf());
  line.Ms("belief-age", m_context.m_loop.Now() - m_mirror.KnownAt());
  m_context.Log(LogPriority::Notable, line);
}

} // namespace fennelline

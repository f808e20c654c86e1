#pragma once

#include "LibHttp/ClientPool.h"
#include "LibHttp/ServerChannel.h"
#include "LibRouting/MirrorSource.h"
#include "LibRouting/StoreMirror.h"
#include "Services/Edge/EdgeContext.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fennelline {

/// Keeps the mirror of the platform's store up to date, from the store or from peers, writes to
/// the store, and tells peers what the mirror holds. The only client of the store.
class StoreClient {
public:
  /// Told what is news. aAfterOutage: the store came back a moment ago, so a key that is missing
  /// may only have run out.
  using OnStoreChanges = std::function<void(const std::vector<KeyValue>&, bool aAfterOutage)>;
  using OnReply = std::function<void(const PlatformReply&)>;

  /// aOnWatchResult: the store itself has told of changes, which peers may not know yet.
  StoreClient(EdgeContext& aContext, OnStoreChanges aOnStoreChanges,
              std::function<void()> aOnWatchResult);

  void Start(Duration aDelay);
  /// aAsksStore: this entry is one of those that ask the store. aNear and aOthers: peers'
  /// addresses.
  void SetPeers(bool aAsksStore, std::vector<std::string> aNear, std::vector<std::string> aOthers);
  /// A peer knows of a newer change.
  void OnPeerRevision(const std::string& aPeer, Revision aRevision);
  /// The store has just answered a peer that now knows of that change.
  void OnPeerStoreContact(const std::string& aPeer, Revision aRevision);
  /// Makes one call, such as a write under a condition. It is not repeated.
  void Call(const PlatformRequest& aRequest, OnReply aOnReply);
  /// Answers a peer that asks for changes after a revision, once there are any or after aWait.
  void AnswerPeer(const std::shared_ptr<ServerChannel>& aPeer, Revision aAfter, Duration aWait);

  const StoreMirror& Mirror() const { return m_mirror; }

private:
  struct WaitingPeer {
    std::shared_ptr<ServerChannel> m_channel;
    Revision m_after = 0;
    EventLoop::TimerId m_timer = EventLoop::kNoTimer;
  };
  struct Exchange {
    std::function<void(int, const std::string&)> m_onDone;
    std::shared_ptr<ClientChannel> m_channel;
    ClientPool* m_pool = nullptr;
    EventLoop::TimerId m_timer = EventLoop::kNoTimer;
    int m_status = 0;
    std::string m_body;
  };

  void AskSoon(Duration aDelay);
  void Ask();
  bool IsUnproved() const;
  void AskStore(const MirrorSource::Choice& aChoice);
  void AskPeer(const MirrorSource::Choice& aChoice);
  void OnStoreAnswer(const MirrorSource::Choice& aChoice, const PlatformRequest& aRequest,
                     const PlatformReply& aReply, Time aSent);
  void OnPage(const PlatformReply& aReply, Time aSent);
  void OnPeerAnswer(const MirrorSource::Choice& aChoice, int aStatus, const std::string& aBody,
                    Time aSent);
  void FetchFrom(const std::string& aPeer);
  void TakePeerNews(const MirrorNews& aNews, Time aSent);
  void Tell(const std::vector<KeyValue>& aNews, Duration aSinceOutage);
  void AnswerWaitingPeers();
  std::string NewsSince(Revision aAfter) const;
  ClientPool& PoolOf(const std::string& aAddress);
  /// aOnDone gets status 0 where no whole answer came in time.
  void Send(const std::string& aAddress, const std::string& aBytes, Duration aTimeout,
            std::function<void(int, const std::string&)> aOnDone);
  void Finish(const std::shared_ptr<Exchange>& aExchange, bool aIsWhole);
  void LogSource(std::string_view aEvent, const MirrorSource::Choice& aChoice) const;

  EdgeContext& m_context;
  OnStoreChanges m_onStoreChanges;
  std::function<void()> m_onWatchResult;
  StoreMirror m_mirror;
  MirrorSource m_source;
  std::map<std::string, std::unique_ptr<ClientPool>> m_pools;
  std::vector<WaitingPeer> m_waiting;
  /// Pages of a listing under way.
  std::vector<KeyValue> m_pages;
  Revision m_pagesAsOf = 0;
  std::string m_pageAfter;
  bool m_needsListing = true;
  bool m_asking = false;
  EventLoop::TimerId m_nextAsk = EventLoop::kNoTimer;
  bool m_fetching = false;
  /// When this entry, or one that it asked, last had an answer of the store.
  Time m_storeProvedAt{};
  /// When the store last came back after it had failed.
  Time m_outageEnded{};
  std::string m_lastSource;
};

} // namespace fennelline

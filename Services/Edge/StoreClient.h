#pragma once

#include "LibHttp/ServerConnection.h"
#include "LibRouting/MirrorSource.h"
#include "LibRouting/StoreMirror.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/LargeValues.h"
#include "Services/Edge/OutgoingCalls.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fennelline {

/// Keeps a local mirror of the platform's store up to date, from the store or from peers, writes to
/// the store and serves the mirror to peers. The only client of the store in this process.
class StoreClient {
public:
  /// Called with changed keys.
  using OnStoreChanges = std::function<void(const std::vector<KeyValue>&, const ChangeOrigin&)>;
  using OnReply = std::function<void(const PlatformReply&)>;

  /// aOnWatchResult: called after the store itself reported changes, which peers may not know yet,
  /// or answered an entry that replaces a failed watcher.
  StoreClient(EdgeContext& aContext, OnStoreChanges aOnStoreChanges,
              std::function<void()> aOnWatchResult);

  void Start(Duration aDelay);
  /// aWatchesStore: this entry watches the store directly. aNear: addresses of the preferred peers,
  /// those that watch the store. aOthers: addresses of the other peers.
  void SetPeers(bool aWatchesStore, std::vector<std::string> aNear,
                std::vector<std::string> aOthers);
  /// A peer knows the store up to this revision; if the mirror is behind, fetches the changes.
  void OnPeerRevision(const std::string& aPeer, Revision aRevision);
  /// The store has just answered a peer, which now knows the store up to this revision of the era.
  void OnPeerStoreContact(const std::string& aPeer, Revision aRevision,
                          std::optional<StoreEra> aEra);
  /// Sends one call to the store, such as a conditional write. It is not retried. If the store's
  /// era is another one by the time of the response, the outcome is Unknown.
  void Call(const PlatformRequest& aRequest, OnReply aOnReply);
  /// Answers a peer's request for the mirror. Returns false if aTarget is not one.
  bool AnswerPeer(const std::shared_ptr<ServerConnection>& aPeer, const IncomingRequest& aRequest);

  const StoreMirror& Mirror() const { return m_mirror; }

private:
  struct WaitingPeer {
    std::shared_ptr<ServerConnection> m_channel;
    Revision m_after = 0;
    /// The era of its revisions.
    std::optional<StoreEra> m_era;
    /// The last change that it knows; none for an entry of an earlier release.
    std::optional<Revision> m_lastKnown;
    /// Larger values are left out of the answer. None: an entry of an earlier release, which takes
    /// all values in one answer.
    std::optional<std::size_t> m_maxValueBytes;
    EventLoop::TimerId m_timer = EventLoop::kNoTimer;
  };
  void ScheduleSync(Duration aDelay);
  void Sync();
  bool IsStoreContactStale() const;
  /// No known entry has an answer of the store that is recent, or newer than the silence of the
  /// entries that watch it.
  bool IsStoreUnconfirmed() const;
  /// When to look again whether the store has to be asked although a peer is.
  Time NextStoreCheck() const;
  void SyncWith(const MirrorSource::Choice& aChoice);
  /// Goes on to another source if the peer has not begun to answer by aOverdueAt, or if the store
  /// has to be asked before. A later answer of the peer still counts.
  void WatchPeerCall(const MirrorSource::Choice& aChoice, Time aSent, Time aOverdueAt);
  void EndSync();
  void SyncWithStore(const MirrorSource::Choice& aChoice);
  /// Watches the backend servers by themselves, beside the watch of all keys, if the entry's link
  /// would take long for a large value that changes at the same time.
  void WatchServers();
  void OnServersAnswer(const PlatformRequest& aRequest, const CallResponse& aResponse);
  void SyncWithPeer(const MirrorSource::Choice& aChoice);
  void OnStoreAnswer(const MirrorSource::Choice& aChoice, const PlatformRequest& aRequest,
                     const CallResponse& aResponse, Time aSent);
  void OnPage(const PlatformReply& aReply, Time aSent);
  /// Handles what the store's answer says of its era. Returns false if the answer is of no use.
  bool CheckEra(const MirrorSource::Choice& aChoice, const PlatformRequest& aRequest,
                const PlatformReply& aReply);
  /// Reads all keys again with the next call to the store.
  void RestartListing();
  /// The mirror has been replaced by a listing of a later era.
  void OnReturned(std::optional<StoreEra> aEraBefore, std::string_view aSource,
                  const std::vector<KeyValue>& aChanges);
  /// aSync: the number of the synchronisation that the call began.
  void OnPeerAnswer(const MirrorSource::Choice& aChoice, const CallResponse& aResponse, Time aSent,
                    std::uint64_t aSync);
  void FetchFromPeer(const std::string& aPeer);
  void ApplyPeerChanges(const std::string& aPeer, const MirrorUpdate& aUpdate);
  /// Logs an update that is large or took long, and counts it.
  void RecordUpdate(std::string_view aSource, const CallResponse& aResponse, std::size_t aKeys,
                    Time aReceived);
  void PublishChanges(const std::vector<KeyValue>& aChanges, const ChangeOrigin& aOrigin);
  ChangeOrigin OriginAfterOutage(Duration aSinceOutage, Revision aOutageRevision) const;
  /// Answers a peer once there are changes after its revision, or after aWait.
  void AnswerWatch(WaitingPeer aPeer, Duration aWait);
  void AnswerWaitingPeers();
  void SendUpdate(const WaitingPeer& aPeer) const;
  void OnLargeValue(const KeyValue& aValue);
  void LogSource(std::string_view aEvent, const MirrorSource::Choice& aChoice) const;
  void LogFailedPeer(const MirrorSource::Choice& aChoice, const CallResponse& aResponse,
                     Time aSent) const;
  /// The store answered this entry, or another one, at this time.
  void OnStoreContact(Time aAnsweredAt);
  /// Logs, once, that no known entry has had an answer of the store for too long.
  void LogStaleContact();

  EdgeContext& m_context;
  OnStoreChanges m_onStoreChanges;
  std::function<void()> m_onWatchResult;
  StoreMirror m_mirror;
  MirrorSource m_source;
  OutgoingCalls m_calls;
  LargeValues m_largeValues;
  std::vector<WaitingPeer> m_waiting;
  /// Pages of a listing in progress.
  std::vector<KeyValue> m_pages;
  Revision m_pagesAsOf = 0;
  std::optional<StoreEra> m_pagesEra;
  std::string m_pageAfter;
  bool m_needsListing = true;
  bool m_isSyncing = false;
  /// Counts synchronisations, to tell answers to calls that were given up from the awaited one.
  std::uint64_t m_sync = 0;
  EventLoop::TimerId m_peerCallTimer = EventLoop::kNoTimer;
  bool m_isWatchingServers = false;
  /// Revision up to which the watch of the backend servers has got.
  Revision m_serversAsOf = 0;
  EventLoop::TimerId m_nextSync = EventLoop::kNoTimer;
  /// Peers from which changes that they announced are being fetched.
  std::set<std::string> m_fetchingFrom;
  /// When this entry, or a peer that it synchronised with, last received a response of the store.
  Time m_storeContactAt{};
  bool m_loggedStaleContact = false;
  bool m_loggedEarlierEra = false;
  /// When the last store outage ended.
  Time m_outageEnded{};
  /// Revision of the store at that moment.
  Revision m_outageRevision = 0;
  std::string m_lastSource;
};

} // namespace fennelline

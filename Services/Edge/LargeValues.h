#pragma once

#include "LibHttp/ServerConnection.h"
#include "LibRouting/LargeValueSender.h"
#include "LibRouting/LargeValueSource.h"
#include "LibRouting/StoreMirror.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/OutgoingCalls.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fennelline {

/// Transfers the large values of the mirror between entries, apart from the mirror's updates. One
/// value is fetched at a time.
class LargeValues {
public:
  /// Called with a value of the mirror's era.
  using OnReceived = std::function<void(const KeyValue&)>;

  LargeValues(EdgeContext& aContext, OutgoingCalls& aCalls, const StoreMirror& aMirror,
              OnReceived aOnReceived);

  /// Addresses of all other entries.
  void SetPeers(std::vector<std::string> aPeers) { m_peers = std::move(aPeers); }
  /// An update of a peer has been applied: fetches the values that it has left out, if any.
  void FetchAwaited(const std::string& aAnnouncer);
  /// Answers a peer's request for a value. Returns false if the request is not one.
  bool Answer(const std::shared_ptr<ServerConnection>& aPeer, const IncomingRequest& aRequest);

private:
  /// A value as it is sent to other entries.
  struct EncodedValue {
    DeferredValue m_id;
    std::string m_bytes;
  };

  void FetchNext();
  void FetchFromPeer(const std::string& aPeer);
  void FetchFromStore();
  void OnPeerResponse(const std::string& aPeer, const CallResponse& aResponse);
  void OnStoreReply(const PlatformReply& aReply, const CallResponse& aResponse);
  void TakeValue(const LargeValue& aValue, std::string_view aSource, const CallResponse& aResponse);
  /// Whether the revision of a received value may be compared with the mirror's.
  bool IsOfCurrentEra(std::optional<StoreEra> aEra) const;
  void ContinueAfter(Duration aDelay);
  void LogFailure(std::string_view aSource, const CallResponse& aResponse,
                  std::string_view aReason) const;

  EdgeContext& m_context;
  OutgoingCalls& m_calls;
  const StoreMirror& m_mirror;
  OnReceived m_onReceived;
  std::vector<std::string> m_peers;
  LargeValueSource m_source;
  LargeValueSender m_sender;
  EncodedValue m_encoded;
  /// The value that is being fetched.
  DeferredValue m_wanted;
  Time m_wantedSince{};
  std::size_t m_attempts = 0;
  bool m_isFetching = false;
};

} // namespace fennelline

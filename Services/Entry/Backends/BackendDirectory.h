#pragma once

#include "LibBase/Time.h"
#include "LibDecision/ReplicaChoice.h"
#include "Services/Entry/Event.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// One backend server as this entry knows it.
struct BackendServer {
  BackendServerId m_id;
  std::string m_address;
  DataCentre m_dataCentre;
  /// "model" or "service:NAME".
  std::string m_role;
  std::vector<std::string> m_versions;
  Duration m_distance{0};
  bool m_listed = true;
  bool m_leaving = false;
  bool m_reachable = true;
  /// Polls in a row that brought neither an answer nor a refusal.
  int m_silentPolls = 0;

  std::int64_t m_slots = 1;
  std::int64_t m_running = 0;
  std::int64_t m_queued = 0;
  std::int64_t m_queuedTokens = 0;
  double m_tokensPerSecond = 0.0;
  Time m_reportTime{};
  bool m_reported = false;

  std::int64_t m_outstanding = 0;
  std::int64_t m_outstandingTokens = 0;
  std::int64_t m_sentSinceReport = 0;
  std::int64_t m_tokensSinceReport = 0;
  std::int64_t m_endedSinceReport = 0;
  /// Requests now there that were running on another server when it crashed.
  std::int64_t m_suspects = 0;
  double m_failureRate = 0.0;
};

/// What this entry sent to a server, to be given back when it ends.
struct SentWork {
  BackendServerId m_server;
  std::int64_t m_tokens = 0;
  Time m_sent{};
  bool m_suspect = false;
};

/// The backend servers known from the VM list and from their load reports, with this entry's own
/// outstanding work on each.
class BackendDirectory {
public:
  /// aDistances gives the one-way time to other data centres; a missing one counts as far.
  BackendDirectory(DataCentre aOwnDataCentre, std::map<DataCentre, Duration> aDistances)
    : m_ownDataCentre(std::move(aOwnDataCentre))
    , m_distances(std::move(aDistances)) {}

  void OnVmList(const std::vector<ListedVm>& aVms);
  void OnLoadPolled(const LoadPolled& aPolled, Time aNow);
  /// A report polled by another entry; older news than what is known is passed over.
  void OnLoadReport(const LoadReport& aReport, Time aNow);

  void OnSent(const SentWork& aWork);
  void OnEnded(const SentWork& aWork, bool aFailed);
  void MarkLeaving(const BackendServerId& aId, bool aLeaving);

  const BackendServer* Find(const BackendServerId& aId) const;
  const std::map<BackendServerId, BackendServer>& Servers() const { return m_servers; }
  /// The servers that run a version, or those of a service, in a fixed order.
  std::vector<const BackendServer*> ForVersion(const std::string& aVersion) const;
  std::vector<const BackendServer*> ForService(const std::string& aService) const;
  bool HasLiveServer(const std::string& aVersion) const;

private:
  Duration DistanceTo(const DataCentre& aDataCentre) const;
  void ReplaceReport(BackendServer& aServer, const LoadReport& aReport, Time aReportTime);
  std::vector<const BackendServer*> Collect(
    const std::unordered_map<std::string, std::vector<BackendServerId>>& aIndex,
    const std::string& aKey) const;
  void RebuildIndexes();

  DataCentre m_ownDataCentre;
  std::map<DataCentre, Duration> m_distances;
  std::map<BackendServerId, BackendServer> m_servers;
  std::unordered_map<std::string, std::vector<BackendServerId>> m_byVersion;
  std::unordered_map<std::string, std::vector<BackendServerId>> m_byService;
};

/// Whether new work may be sent to the server.
bool TakesNewWork(const BackendServer& aServer);

/// The view of a server that the replica choice wants.
ReplicaView ViewOf(const BackendServer& aServer, Time aNow);

} // namespace fennelline

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

/// This entry's view of a backend server.
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
  /// Consecutive polls that timed out: neither a response nor a refused connection.
  int m_silentPolls = 0;

  std::int64_t m_slots = 1;
  std::int64_t m_runningRequests = 0;
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
  /// Outstanding requests on this server that were running on another server when it crashed.
  std::int64_t m_suspects = 0;
  double m_failureRate = 0.0;
};

/// Work that this entry sent to a server; subtracted from the server's load when it ends.
struct SentWork {
  BackendServerId m_server;
  std::int64_t m_tokens = 0;
  Time m_sentAt{};
  bool m_suspect = false;
};

/// The backend servers known from the VM list and from their load reports, with this entry's own
/// outstanding work on each.
class BackendDirectory {
public:
  /// aDistances maps data centres to the one-way network delay; 20 ms is assumed for a missing one.
  BackendDirectory(DataCentre aOwnDataCentre, std::map<DataCentre, Duration> aDistances)
    : m_ownDataCentre(std::move(aOwnDataCentre))
    , m_distances(std::move(aDistances)) {}

  void OnVmList(const std::vector<ListedVm>& aVms);
  void OnLoadPolled(const LoadPolled& aPolled, Time aNow);
  /// Handles a report polled by another entry. Reports older than the known one are ignored.
  void OnLoadReport(const LoadReport& aReport, Time aNow);

  void OnSent(const SentWork& aWork);
  void OnEnded(const SentWork& aWork, bool aFailed);
  void MarkLeaving(const BackendServerId& aId, bool aLeaving);

  const BackendServer* Find(const BackendServerId& aId) const;
  const std::map<BackendServerId, BackendServer>& Servers() const { return m_servers; }
  /// The servers that run a version or a service, in a deterministic order.
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

/// The input of the replica choice for a server.
ReplicaView ViewOf(const BackendServer& aServer, Time aNow);

} // namespace fennelline

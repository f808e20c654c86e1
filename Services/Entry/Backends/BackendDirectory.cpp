#include "Services/Entry/Backends/BackendDirectory.h"

#include <algorithm>

namespace fennelline {

namespace {

constexpr Duration kUnknownDistance = Milliseconds(20);
/// A connection may hang while new ones work, so a single timed-out poll does not mark the server
/// unreachable.
constexpr int kMaxSilentPolls = 3;
constexpr double kFailureRateDecay = 0.9;
constexpr std::string_view kServicePrefix = "service:";

bool IsService(const BackendServer& aServer) {
  return aServer.m_role.starts_with(kServicePrefix);
}

} // namespace

bool TakesNewWork(const BackendServer& aServer) {
  return aServer.m_listed && aServer.m_reachable && !aServer.m_leaving;
}

ReplicaView ViewOf(const BackendServer& aServer, Time aNow) {
  ReplicaView view;
  view.m_reportedRunning = aServer.m_runningRequests;
  view.m_reportedQueued = aServer.m_queued;
  view.m_reportedQueuedTokens = aServer.m_queuedTokens;
  view.m_tokensPerSecond = aServer.m_tokensPerSecond;
  view.m_reportAge = aServer.m_reported ? aNow - aServer.m_reportTime : Seconds(1);
  view.m_ownOutstanding = aServer.m_outstanding;
  view.m_ownOutstandingTokens = aServer.m_outstandingTokens;
  view.m_ownSinceReport = aServer.m_sentSinceReport;
  view.m_ownTokensSinceReport = aServer.m_tokensSinceReport;
  view.m_ownEndedSinceReport = aServer.m_endedSinceReport;
  view.m_distance = aServer.m_distance;
  view.m_slots = aServer.m_slots;
  view.m_failureRate = aServer.m_failureRate;
  view.m_eligible = TakesNewWork(aServer);
  return view;
}

Duration BackendDirectory::DistanceTo(const DataCentre& aDataCentre) const {
  if (aDataCentre == m_ownDataCentre) {
    return Duration{0};
  }
  const auto found = m_distances.find(aDataCentre);
  return found == m_distances.end() ? kUnknownDistance : found->second;
}

void BackendDirectory::OnVmList(const std::vector<ListedVm>& aVms) {
  for (auto& [id, server] : m_servers) {
    server.m_listed = false;
  }
  for (const ListedVm& vm : aVms) {
    if (vm.m_role == "entry") {
      continue;
    }
    BackendServer& server = m_servers[vm.m_name];
    server.m_id = vm.m_name;
    server.m_address = vm.m_address;
    server.m_dataCentre = vm.m_dataCentre;
    server.m_role = vm.m_role;
    server.m_distance = DistanceTo(vm.m_dataCentre);
    server.m_listed = true;
  }
  // Unlisted servers with outstanding work are kept until that work has ended.
  std::erase_if(m_servers, [](const std::pair<const BackendServerId, BackendServer>& aItem) {
    return !aItem.second.m_listed && aItem.second.m_outstanding == 0;
  });
  RebuildIndexes();
}

void BackendDirectory::ReplaceReport(BackendServer& aServer, const LoadReport& aReport,
                                     Time aReportTime) {
  aServer.m_runningRequests = aReport.m_runningRequests;
  aServer.m_queued = aReport.m_queuedRequests;
  aServer.m_queuedTokens = aReport.m_queuedTokens;
  aServer.m_tokensPerSecond = aReport.m_tokensPerSecond;
  aServer.m_reportTime = aReportTime;
  aServer.m_reported = true;
  aServer.m_sentSinceReport = 0;
  aServer.m_tokensSinceReport = 0;
  aServer.m_endedSinceReport = 0;
  if (aServer.m_versions != aReport.m_versions) {
    aServer.m_versions = aReport.m_versions;
    RebuildIndexes();
  }
}

void BackendDirectory::OnLoadPolled(const LoadPolled& aPolled, Time aNow) {
  const auto found = m_servers.find(aPolled.m_backendServer);
  if (found == m_servers.end()) {
    return;
  }
  BackendServer& server = found->second;
  if (!aPolled.m_reached) {
    server.m_silentPolls += 1;
    server.m_reachable = !aPolled.m_refused && server.m_silentPolls < kMaxSilentPolls;
    return;
  }
  server.m_silentPolls = 0;
  server.m_reachable = true;
  server.m_slots = std::max<std::int64_t>(aPolled.m_slots, 1);
  ReplaceReport(server, aPolled.m_report, aNow - Milliseconds(aPolled.m_report.m_ageMilliseconds));
}

void BackendDirectory::OnLoadReport(const LoadReport& aReport, Time aNow) {
  const auto found = m_servers.find(aReport.m_backendServer);
  if (found == m_servers.end()) {
    return;
  }
  const Time reportTime = aNow - Milliseconds(aReport.m_ageMilliseconds);
  if (found->second.m_reported && reportTime <= found->second.m_reportTime) {
    return;
  }
  ReplaceReport(found->second, aReport, reportTime);
}

void BackendDirectory::OnSent(const SentWork& aWork) {
  const auto found = m_servers.find(aWork.m_server);
  if (found == m_servers.end()) {
    return;
  }
  BackendServer& server = found->second;
  server.m_outstanding += 1;
  server.m_outstandingTokens += aWork.m_tokens;
  server.m_sentSinceReport += 1;
  server.m_tokensSinceReport += aWork.m_tokens;
  server.m_suspects += aWork.m_suspect ? 1 : 0;
}

void BackendDirectory::OnEnded(const SentWork& aWork, bool aFailed) {
  const auto found = m_servers.find(aWork.m_server);
  if (found == m_servers.end()) {
    return;
  }
  BackendServer& server = found->second;
  server.m_outstanding -= 1;
  server.m_endedSinceReport += 1;
  server.m_outstandingTokens -= aWork.m_tokens;
  server.m_suspects -= aWork.m_suspect ? 1 : 0;
  server.m_failureRate =
    kFailureRateDecay * server.m_failureRate + (1.0 - kFailureRateDecay) * (aFailed ? 1.0 : 0.0);
}

void BackendDirectory::MarkLeaving(const BackendServerId& aId, bool aLeaving) {
  const auto found = m_servers.find(aId);
  if (found != m_servers.end()) {
    found->second.m_leaving = aLeaving;
  }
}

const BackendServer* BackendDirectory::Find(const BackendServerId& aId) const {
  const auto found = m_servers.find(aId);
  return found == m_servers.end() ? nullptr : &found->second;
}

std::vector<const BackendServer*> BackendDirectory::Collect(
  const std::unordered_map<std::string, std::vector<BackendServerId>>& aIndex,
  const std::string& aKey) const {
  std::vector<const BackendServer*> servers;
  const auto found = aIndex.find(aKey);
  if (found == aIndex.end()) {
    return servers;
  }
  for (const BackendServerId& id : found->second) {
    servers.push_back(&m_servers.at(id));
  }
  return servers;
}

std::vector<const BackendServer*> BackendDirectory::ForVersion(const std::string& aVersion) const {
  return Collect(m_byVersion, aVersion);
}

std::vector<const BackendServer*> BackendDirectory::ForService(const std::string& aService) const {
  return Collect(m_byService, aService);
}

bool BackendDirectory::HasLiveServer(const std::string& aVersion) const {
  const std::vector<const BackendServer*> servers = ForVersion(aVersion);
  return std::any_of(servers.begin(), servers.end(),
                     [](const BackendServer* aServer) { return TakesNewWork(*aServer); });
}

void BackendDirectory::RebuildIndexes() {
  m_byVersion.clear();
  m_byService.clear();
  for (const auto& [id, server] : m_servers) {
    if (IsService(server)) {
      m_byService[server.m_role.substr(kServicePrefix.size())].push_back(id);
      continue;
    }
    for (const std::string& version : server.m_versions) {
      m_byVersion[version].push_back(id);
    }
  }
}

} // namespace fennelline

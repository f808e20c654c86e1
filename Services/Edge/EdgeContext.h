#pragma once

#include "LibBase/Random.h"
#include "LibHttp/EventLoop.h"
#include "LibRouting/DeploymentSettings.h"
#include "LibRouting/EvacuatedZones.h"
#include "LibRouting/LoadUpdates.h"
#include "LibRouting/PrefillSpeedEstimator.h"
#include "LibRouting/RetryWindow.h"
#include "LibRouting/RouteTable.h"
#include "LibRouting/VersionRule.h"
#include "Services/Edge/BackendTable.h"
#include "Services/Edge/EdgeLog.h"
#include "Services/Edge/EdgeMetrics.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

class CrashWatch;
class HealthChecks;
class LeavingNotices;
class Overload;
class PeerRelays;
class RoomQueue;
class ServerPaths;
class ServerPermits;
class ServerSpeeds;
class SessionKeeper;

enum class VersionOutcome : std::uint8_t {
  /// It was answered, or runs and is already slow.
  Answered,
  /// It runs, and the usual time between its events is known.
  Paced,
  Failed,
  /// It was given up, because no event had come for too long.
  Stalled,
};

/// Outcome of one request on a software version, used as rollout evidence.
struct VersionEvidenceEvent {
  std::string m_service;
  std::string m_version;
  std::string m_route;
  /// The route, or the model of a stream. Requests of the same kind have comparable latency.
  std::string m_kind;
  /// Latency of a plain response, or usual time between events of a stream; zero if unknown.
  Duration m_latency{0};
  VersionOutcome m_outcome = VersionOutcome::Answered;
  bool m_isStream = false;
  /// Identity of the server.
  std::uint64_t m_server = 0;
  /// The connection to the server broke during the request.
  bool m_isBroken = false;
};

/// State shared by the components of the edge process. Not thread-safe: one thread uses it.
struct EdgeContext {
  EventLoop& m_loop;
  DeploymentSettings m_settings;
  EdgeLog& m_log;
  EdgeMetrics& m_metrics;
  BackendTable m_backends;
  mutable Random m_random;
  /// The active configuration; null until one has been received.
  std::shared_ptr<const RouteTable> m_routes;
  std::unordered_map<std::string, RetryWindow> m_retries;
  std::unordered_map<std::string, VersionRule> m_versions;
  EvacuatedZones m_evacuated;
  /// Number of live entries, including this one.
  std::size_t m_entries = 1;
  /// Hashes of the ids of the live entries, and of this one's.
  std::vector<std::uint64_t> m_entryHashes;
  std::uint64_t m_ownHash = 0;
  /// When the local copy of the store was last confirmed to be current.
  Time m_storeConfirmedAt{};
  /// The last error of an era of the store that could not be read, which has been logged.
  std::string m_unreadableEra;
  /// When shutdown was requested.
  std::optional<Time> m_stopRequestedAt;
  PrefillSpeedEstimator m_prefillSpeed;
  std::function<void(const VersionEvidenceEvent&)> m_onEvidence;
  /// Whether a latency of this kind of request is several times the usual one.
  std::function<bool(const std::string&, Duration)> m_isSlow;
  /// Whether the events of a stream of this kind come clearly later than usual.
  std::function<bool(const std::string&, Duration)> m_isDelayed;
  /// Requests received before the first configuration; called once a configuration is known.
  std::vector<std::function<void()>> m_waitingForConfiguration;
  /// Announces to the other entries a long prompt sent to a backend server.
  std::function<void(const LoadUpdate&)> m_onLoad;
  /// Set before the first request.
  CrashWatch* m_crashWatch = nullptr;
  HealthChecks* m_healthChecks = nullptr;
  ServerPermits* m_permits = nullptr;
  ServerPaths* m_paths = nullptr;
  PeerRelays* m_peers = nullptr;
  RoomQueue* m_room = nullptr;
  Overload* m_overload = nullptr;
  SessionKeeper* m_sessions = nullptr;
  LeavingNotices* m_leaving = nullptr;
  ServerSpeeds* m_speeds = nullptr;
  /// Requests in hand that other entries have passed on.
  std::size_t m_passedOnRequests = 0;

  bool IsEvacuated(const BackendLink& aBackend) const {
    return m_evacuated.IsEvacuated(aBackend.m_record.m_zone);
  }
  RetryLimits RetryPlan() const {
    return {.m_ratio = m_settings.m_maxRetryRatio,
            .m_slack = m_settings.m_retrySlack,
            .m_window = m_settings.m_retryWindow,
            .m_entries = m_entries};
  }
  /// The bound for the service's cold servers.
  ColdRules ColdRulesOf(const std::string& aService) const {
    const Service* service =
      m_routes && m_settings.m_coldOverage > 0.0 ? m_routes->FindService(aService) : nullptr;
    return service == nullptr ? ColdRules{}
                              : ColdRules{.m_coldTime = service->m_coldTime,
                                          .m_perSecond = service->m_coldPerSecond,
                                          .m_overage = m_settings.m_coldOverage,
                                          .m_slack = m_settings.m_coldSlack};
  }
  void Log(LogPriority aPriority, const LogLine& aLine) const {
    m_log.Write(aPriority, aLine, m_loop.Now());
  }
};

} // namespace fennelline

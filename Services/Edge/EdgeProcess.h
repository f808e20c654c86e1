#pragma once

#include "LibHttp/HttpServer.h"
#include "LibRouting/AnnouncementBudget.h"
#include "Services/Edge/CrashWatch.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/HealthChecks.h"
#include "Services/Edge/LeavingNotices.h"
#include "Services/Edge/LoopWatch.h"
#include "Services/Edge/Members.h"
#include "Services/Edge/Overload.h"
#include "Services/Edge/PeerRelays.h"
#include "Services/Edge/RolloutDriver.h"
#include "Services/Edge/RoomQueue.h"
#include "Services/Edge/ServerPaths.h"
#include "Services/Edge/ServerPermits.h"
#include "Services/Edge/ServerSpeeds.h"
#include "Services/Edge/SessionKeeper.h"
#include "Services/Edge/StoreClient.h"
#include "Services/Edge/StoreView.h"
#include "Services/Edge/WithheldNotices.h"

#include <memory>
#include <string>

namespace fennelline {

struct EdgeOptions {
  std::string m_settingsPath;
  /// Content of the settings file when it was last read.
  std::string m_settingsText;
  /// Additional port that serves metrics, besides the peer address; 0 for none.
  int m_metricsPort = 0;
};

/// One entry of the fleet. Forwards callers' requests to backend servers, answers lookups of entry
/// addresses, and keeps its copy of the store and its view of the other entries up to date.
class EdgeProcess {
public:
  EdgeProcess(EventLoop& aLoop, EdgeOptions aOptions, DeploymentSettings aSettings);

  Result<void> Start();
  /// Handle SIGTERM or SIGINT, and SIGHUP. Called on the event loop.
  void Stop();
  void Reload();

private:
  using Handler =
    std::function<void(const std::shared_ptr<ServerConnection>&, const IncomingRequest&)>;

  Result<void> Serve(const std::string& aAddress, Handler aHandler);
  Result<void> ServeCallers();
  /// Takes requests that other entries pass on.
  Result<void> ServeEntries();
  void OnStoreChanges(const std::vector<KeyValue>& aChanges, const ChangeOrigin& aOrigin);
  void OnMembersChanged();
  void OnPeerMessage(const std::string& aMessage);
  /// Tells other entries up to which revision this one knows the store.
  void AnnounceRevision();
  void OnRevisionMessage(const std::string& aMessage);
  /// Schedules sending of the pending messages to the other entries, so that they are batched.
  void SchedulePeerMessages();
  void SendPeerMessages();
  void UpdateReadiness();
  bool IsReady() const;
  void AnswerLookup(const std::shared_ptr<ServerConnection>& aCaller,
                    const IncomingRequest& aRequest);
  void AnswerReadiness(const std::shared_ptr<ServerConnection>& aCaller);
  void AnswerPeer(const std::shared_ptr<ServerConnection>& aPeer, const IncomingRequest& aRequest);
  void AnswerMetrics(const std::shared_ptr<ServerConnection>& aCaller);
  void OnSecondTimer();
  void OnFlushTimer();
  void CheckStop();
  void ApplyLimits();
  std::vector<std::string> SeedAddresses() const;

  EventLoop& m_loop;
  EdgeOptions m_options;
  EdgeMetrics m_metrics;
  EdgeLog m_log;
  EdgeContext m_context;
  StoreView m_storeView;
  Members m_members;
  StoreClient m_store;
  RolloutDriver m_rollouts;
  CrashWatch m_crashWatch;
  ServerPermits m_permits;
  ServerPaths m_paths;
  HealthChecks m_healthChecks;
  PeerRelays m_peers;
  RoomQueue m_room;
  Overload m_overload;
  SessionKeeper m_sessions;
  LeavingNotices m_leaving;
  WithheldNotices m_withheld;
  ServerSpeeds m_speeds;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_entries;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::vector<LoadUpdate> m_pendingLoads;
  AnnouncementBudget m_loadBudget;
  LoopWatch m_loopWatch;
  bool m_peerMessagesScheduled = false;
  bool m_wasReady = false;
};

/// Reads and parses a settings file; its text goes to aText.
Result<DeploymentSettings> ReadSettingsFile(const std::string& aPath, std::string& aText);

} // namespace fennelline

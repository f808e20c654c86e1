#pragma once

#include "LibHttp/HttpServer.h"
#include "Services/Edge/EdgeContext.h"
#include "Services/Edge/Members.h"
#include "Services/Edge/RolloutDriver.h"
#include "Services/Edge/StoreClient.h"
#include "Services/Edge/StoreView.h"

#include <memory>
#include <string>

namespace fennelline {

struct EdgeOptions {
  std::string m_settingsPath;
  /// What stood there at the start.
  std::string m_settingsText;
  /// Where metrics are served, beside the peers' address.
  int m_metricsPort = 0;
};

/// One entry of the fleet: takes callers' requests to backend servers, tells callers which entries
/// to use, and keeps its beliefs up to date.
class EdgeProcess {
public:
  EdgeProcess(EventLoop& aLoop, EdgeOptions aOptions, EntryFacts aFacts);

  Result<void> Start();
  /// The operator's signals. Called from the loop.
  void Stop();
  void Reload();

private:
  using Handler =
    std::function<void(const std::shared_ptr<ServerChannel>&, const IncomingRequest&)>;

  Result<void> Serve(const std::string& aAddress, Handler aHandler);
  Result<void> ServeCallers();
  void OnStoreChanges(const std::vector<KeyValue>& aNews, bool aAfterOutage);
  void OnMembersChanged();
  void OnNote(const std::string& aNote);
  /// Sends the collected notes to the other entries soon.
  void ArmNotes();
  void SendNotes();
  void SendToPeers(const std::string& aNote);
  void UpdateReadiness();
  bool IsReady() const;
  void AnswerLookup(const std::shared_ptr<ServerChannel>& aCaller, const IncomingRequest& aRequest);
  void AnswerReadiness(const std::shared_ptr<ServerChannel>& aCaller);
  void AnswerPeer(const std::shared_ptr<ServerChannel>& aPeer, const IncomingRequest& aRequest);
  void AnswerMetrics(const std::shared_ptr<ServerChannel>& aCaller);
  void EverySecond();
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
  std::unique_ptr<HttpServer> m_callers;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::vector<LoadNote> m_loadNotes;
  std::vector<std::uint64_t> m_sessionNotes;
  bool m_notesArmed = false;
  bool m_wasReady = false;
};

/// Reads a settings file.
Result<EntryFacts> ReadSettingsFile(const std::string& aPath, std::string& aText);

} // namespace fennelline

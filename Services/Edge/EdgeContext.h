#pragma once

#include "LibBase/Random.h"
#include "LibHttp/EventLoop.h"
#include "LibRouting/EngineSpeed.h"
#include "LibRouting/EntryFacts.h"
#include "LibRouting/LoadNotes.h"
#include "LibRouting/RetryWindow.h"
#include "LibRouting/RouteTable.h"
#include "LibRouting/SessionMemory.h"
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

/// How one request at a version ended, as evidence for or against the version.
struct VersionEvidenceEvent {
  std::string m_service;
  std::string m_version;
  std::string m_route;
  /// Requests that usually take as long as each other: a route and a model.
  std::string m_kind;
  /// The time of a plain answer, or between a stream's events; zero where it is not known.
  Duration m_pace{0};
  bool m_isBad = false;
  /// Hash of the server whose connection broke under it; zero for other ends.
  std::uint64_t m_brokenServer = 0;
};

/// What the parts of the edge process share. One thread uses it.
struct EdgeContext {
  EventLoop& m_loop;
  EntryFacts m_facts;
  EdgeLog& m_log;
  EdgeMetrics& m_metrics;
  BackendTable m_backends;
  mutable Random m_random;
  /// The configuration in force; null until one is known.
  std::shared_ptr<const RouteTable> m_routes;
  std::unordered_map<std::string, RetryWindow> m_retries;
  std::unordered_map<std::string, VersionRule> m_versions;
  /// Live entries, this one included.
  std::size_t m_entries = 1;
  /// When what is believed of the store was last known to be its newest.
  Time m_storeConfirmedAt{};
  /// When the process was told to stop.
  std::optional<Time> m_stopSince;
  EngineSpeed m_engineSpeed;
  std::function<void(const VersionEvidenceEvent&)> m_onEvidence;
  /// Requests that came before any configuration was known; each is called once one is.
  std::vector<std::function<void()>> m_waitingForConfiguration;
  SessionMemory m_oldSessions;
  /// A session stays on the version that is being replaced; other entries should know.
  std::function<void(std::uint64_t)> m_onOldSession;
  /// A prompt was sent that other entries should know of.
  std::function<void(const LoadNote&)> m_onLoad;

  RetryWindowPlan RetryPlan() const {
    return {.m_ratio = m_facts.m_retryRatio,
            .m_slack = m_facts.m_retrySlack,
            .m_window = m_facts.m_retryWindow,
            .m_entries = m_entries};
  }
  void Log(LogPriority aRank, const LogLine& aLine) const {
    m_log.Write(aRank, aLine, m_loop.Now());
  }
};

} // namespace fennelline

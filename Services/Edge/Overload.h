#pragma once

#include "LibHttp/EventLoop.h"
#include "LibRouting/OverloadControl.h"
#include "Services/Edge/EdgeContext.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace fennelline {

/// Holds less urgent requests to model engines at this entry during a surge. OverloadControl
/// decides, for each service; this class keeps the callbacks and timers.
class Overload {
public:
  using OnDecision = std::function<void(const AdmissionDecision&)>;
  /// A run at a server, for the methods below.
  struct Run {
    std::string m_service;
    CongestionSignal::RunId m_id = CongestionSignal::kNoRun;
    int m_urgency = 0;
    Time m_sentAt{};
  };

  explicit Overload(EdgeContext& aContext)
    : m_context(aContext) {}

  /// Returns the decision. If it is to wait, aOnDecision is called later with the next one, unless
  /// the request leaves before.
  AdmissionDecision Offer(const std::string& aService, const AdmissionQuery& aQuery,
                          OnDecision aOnDecision);
  void Leave(const std::string& aService, std::uint64_t aId);
  bool HasCapacityToEscalate(const std::string& aService, const EscalationQuery& aQuery);
  Duration RetryAfter(const std::string& aService, int aUrgency, Admission aCause);
  SurgeState State(const std::string& aService);

  Run OnSent(const std::string& aService, const CongestionSignal::Run& aRun);
  void OnFirstEvent(const Run& aRun);
  void OnRejected(const Run& aRun);
  void OnEnded(const Run& aRun);
  /// Sets the gauges.
  void UpdateMetrics();

private:
  struct ServiceState {
    OverloadControl m_control;
    std::unordered_map<std::uint64_t, OnDecision> m_waiting;
    SurgeState m_loggedState = SurgeState::Calm;
    Time m_slotsCountedAt{};
  };

  ServiceState& StateOf(const std::string& aService);
  void CountSlots(const std::string& aService, ServiceState& aState);
  void LogState(const std::string& aService, ServiceState& aState);
  void Review(const std::string& aService);
  void ScheduleReview();

  EdgeContext& m_context;
  std::map<std::string, ServiceState> m_services;
  bool m_isReviewScheduled = false;
};

} // namespace fennelline

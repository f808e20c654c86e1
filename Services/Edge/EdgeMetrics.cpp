#include "Services/Edge/EdgeMetrics.h"

#include <prometheus/text_serializer.h>

namespace fennelline {

namespace {

const prometheus::Histogram::BucketBoundaries kTurnSeconds = {0.0001, 0.001, 0.01, 0.05,
                                                              0.1,    0.25,  1.0};
const prometheus::Histogram::BucketBoundaries kSeconds = {0.005, 0.01, 0.02, 0.05, 0.1,  0.2, 0.4,
                                                          0.8,   1.5,  3.0,  6.0,  12.0, 25.0};

std::string TextOf(std::string_view aName) {
  return std::string(aName);
}

} // namespace

EdgeMetrics::EdgeMetrics() {
  prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter()
                                                        .Name("fennelline_requests_total")
                                                        .Help("Requests of callers by their end.")
                                                        .Register(*m_registry);
  prometheus::Family<prometheus::Histogram>& firstByte =
    prometheus::BuildHistogram()
      .Name("fennelline_first_byte_seconds")
      .Help("From a request's arrival to the first byte of its answer.")
      .Register(*m_registry);
  prometheus::Family<prometheus::Histogram>& answered =
    prometheus::BuildHistogram()
      .Name("fennelline_answer_seconds")
      .Help("From a request's arrival to the end of its answer.")
      .Register(*m_registry);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const std::string kindName = TextOf(kRouteKindNames[kind].second);
    for (std::size_t end = 0; end < kEnds; ++end) {
      m_requests[kind][end] =
        &requests.Add({{"kind", kindName}, {"end", TextOf(kRequestEndNames[end].second)}});
    }
    m_firstByte[kind] = &firstByte.Add({{"kind", kindName}}, kSeconds);
    m_answered[kind] = &answered.Add({{"kind", kindName}}, kSeconds);
  }
  prometheus::Family<prometheus::Counter>& attempts =
    prometheus::BuildCounter()
      .Name("fennelline_attempts_total")
      .Help("Attempts at backend servers that gave no answer to pass on, by their outcome.")
      .Register(*m_registry);
  for (std::size_t outcome = 0; outcome < kOutcomes; ++outcome) {
    m_attempts[outcome] =
      &attempts.Add({{"outcome", TextOf(kAttemptOutcomeNames[outcome].second)}});
  }
  prometheus::Family<prometheus::Counter>& storeCalls = prometheus::BuildCounter()
                                                          .Name("fennelline_store_calls_total")
                                                          .Help("Calls to the platform's store.")
                                                          .Register(*m_registry);
  m_storeCalls = {&storeCalls.Add({{"outcome", "failed"}}), &storeCalls.Add({{"outcome", "ok"}})};
  m_mirrorTransfer = &prometheus::BuildHistogram()
                        .Name("fennelline_mirror_transfer_seconds")
                        .Help("From the first to the last byte of an update of the store's mirror.")
                        .Register(*m_registry)
                        .Add({}, kSeconds);
  prometheus::Family<prometheus::Counter>& mirrorBytes =
    prometheus::BuildCounter()
      .Name("fennelline_mirror_bytes_total")
      .Help("Bytes received in updates of the store's mirror.")
      .Register(*m_registry);
  m_mirrorBytes = {&mirrorBytes.Add({{"outcome", "abandoned"}}),
                   &mirrorBytes.Add({{"outcome", "applied"}})};
  prometheus::Family<prometheus::Counter>& mirrorUpdatesSent =
    prometheus::BuildCounter()
      .Name("fennelline_mirror_updates_sent_total")
      .Help("Updates of the store's mirror sent to other entries.")
      .Register(*m_registry);
  m_mirrorUpdatesSent = {&mirrorUpdatesSent.Add({{"values", "small"}}),
                         &mirrorUpdatesSent.Add({{"values", "all"}})};
  m_storeReturns = &prometheus::BuildCounter()
                      .Name("fennelline_store_returns_total")
                      .Help("Times that the store came back from an older copy of itself.")
                      .Register(*m_registry)
                      .Add({});
  m_loopTurn = &prometheus::BuildHistogram()
                  .Name("fennelline_loop_turn_seconds")
                  .Help("Time of a turn of the event loop, without its wait.")
                  .Register(*m_registry)
                  .Add({}, kTurnSeconds);
  m_loopHeld = &prometheus::BuildCounter()
                  .Name("fennelline_loop_held_seconds_total")
                  .Help("Time that timers of the event loop were late by, if it was long.")
                  .Register(*m_registry)
                  .Add({});
  prometheus::Family<prometheus::Counter>& largeValueCalls =
    prometheus::BuildCounter()
      .Name("fennelline_large_value_calls_total")
      .Help("Calls for large values of the store's mirror, by their outcome.")
      .Register(*m_registry);
  for (std::size_t outcome = 0; outcome < m_largeValueCalls.size(); ++outcome) {
    m_largeValueCalls[outcome] =
      &largeValueCalls.Add({{"outcome", TextOf(kLargeValueOutcomeNames[outcome].second)}});
  }
  prometheus::Family<prometheus::Counter>& serverChecks =
    prometheus::BuildCounter()
      .Name("fennelline_server_checks_total")
      .Help("Checks whether the process of a backend server still runs, after a connection ended.")
      .Register(*m_registry);
  for (std::size_t result = 0; result < kServerLivenessCount; ++result) {
    m_serverChecks[result] =
      &serverChecks.Add({{"result", TextOf(kServerLivenessNames[result].second)}});
  }
  prometheus::Family<prometheus::Counter>& oddEvents =
    prometheus::BuildCounter()
      .Name("fennelline_odd_events_total")
      .Help("Attempts that ended with bytes of a stream that are not its next event.")
      .Register(*m_registry);
  for (std::size_t fault = 0; fault < kEventFaultNames.size(); ++fault) {
    m_oddEvents[fault] = &oddEvents.Add({{"fault", TextOf(kEventFaultNames[fault].second)}});
  }
  m_contentRefusals =
    &prometheus::BuildCounter()
       .Name("fennelline_content_refusals_total")
       .Help("Requests that were not sent (again) because their content crashes servers.")
       .Register(*m_registry)
       .Add({});
  prometheus::Family<prometheus::Counter>& permits =
    prometheus::BuildCounter()
      .Name("fennelline_permits_total")
      .Help("Permits asked for, for requests to servers that limit requests.")
      .Register(*m_registry);
  m_permits = {&permits.Add({{"outcome", "refused"}}), &permits.Add({{"outcome", "granted"}})};
  const auto gauge = [this](const char* aName, const char* aHelp) {
    return &prometheus::BuildGauge().Name(aName).Help(aHelp).Register(*m_registry).Add({});
  };
  m_passedOn = &prometheus::BuildCounter()
                  .Name("fennelline_passed_on_total")
                  .Help("Requests passed on to other entries, for want of a path to the servers.")
                  .Register(*m_registry)
                  .Add({});
  auto& admissions = prometheus::BuildCounter()
                       .Name("fennelline_overload_decisions_total")
                       .Help("Requests that overload control has held, or refused for a reason.")
                       .Register(*m_registry);
  for (const auto& [admission, name] : kAdmissionNames) {
    if (admission != Admission::Send) {
      m_admissions[static_cast<std::size_t>(admission)] =
        &admissions.Add({{"decision", std::string(name)}});
    }
  }
  m_escalationsWithheld =
    &prometheus::BuildCounter()
       .Name("fennelline_escalations_withheld_total")
       .Help("Escalations to a larger model that were not taken because of congestion.")
       .Register(*m_registry)
       .Add({});
  m_surgeState = gauge("fennelline_surge_state",
                       "Congestion of the model engines: 0 calm, 1 tight, 2 surge, 3 severe.");
  auto& waiting = prometheus::BuildGauge()
                    .Name("fennelline_overload_waiting")
                    .Help("Requests that wait at this entry for capacity.")
                    .Register(*m_registry);
  for (std::size_t urgency = 0; urgency < m_waiting.size(); ++urgency) {
    m_waiting[urgency] = &waiting.Add({{"urgency", std::to_string(urgency)}});
  }
  m_lostPaths = gauge("fennelline_lost_paths", "Services whose servers this entry does not reach.");
  m_refusedContents =
    gauge("fennelline_refused_contents", "Contents known to crash backend servers.");
  m_turnedFromCold =
    &prometheus::BuildCounter()
       .Name("fennelline_turned_from_cold_total")
       .Help("Requests that went elsewhere because a cold server had no permit for them.")
       .Register(*m_registry)
       .Add({});
  m_coldServers = gauge("fennelline_cold_servers", "Backend servers that count as cold.");
  m_slowServers = gauge("fennelline_slow_servers", "Backend servers slower than the usual one.");
  m_limitedServers = gauge("fennelline_limited_servers", "Backend servers that limit requests.");
  m_leavingServers =
    gauge("fennelline_leaving_servers", "Backend servers whose answers said that they leave.");
  m_leftAloneServers = gauge("fennelline_left_alone_servers",
                             "Backend servers that asked this entry to be left alone for a while.");
  m_evacuatedZones = gauge("fennelline_evacuated_zones", "Data centres that are evacuated.");
  m_requestsInEvacuatedZones =
    gauge("fennelline_requests_in_evacuated_zones",
          "Requests of this entry that still run in evacuated data centres.");
  m_callerChannels = gauge("fennelline_caller_channels", "Open connections of callers.");
  m_serverChannels = gauge("fennelline_server_channels", "Open connections to backend servers.");
  m_members = gauge("fennelline_members", "Entries known to be alive, this one included.");
  m_configurationVersion =
    gauge("fennelline_configuration_version", "Version of the configuration in force.");
  m_storeStateAge = gauge("fennelline_belief_age_seconds",
                          "Time since what is believed of the store was known to be its newest.");
}

void EdgeMetrics::OnRequestEnded(RouteKind aKind, RequestEnd aEnd) {
  m_requests[static_cast<std::size_t>(aKind)][static_cast<std::size_t>(aEnd)]->Increment();
}

void EdgeMetrics::OnAttemptEnded(AttemptOutcome aOutcome) {
  m_attempts[static_cast<std::size_t>(aOutcome)]->Increment();
}

void EdgeMetrics::OnFirstByte(RouteKind aKind, Duration aTime) {
  m_firstByte[static_cast<std::size_t>(aKind)]->Observe(InSeconds(aTime));
}

void EdgeMetrics::OnAnswered(RouteKind aKind, Duration aTime) {
  m_answered[static_cast<std::size_t>(aKind)]->Observe(InSeconds(aTime));
}

void EdgeMetrics::OnStoreCall(bool aSucceeded) {
  m_storeCalls[aSucceeded ? 1 : 0]->Increment();
}

void EdgeMetrics::OnMirrorUpdate(std::size_t aBytes, Duration aTransferTime) {
  m_mirrorTransfer->Observe(InSeconds(aTransferTime));
  m_mirrorBytes[1]->Increment(static_cast<double>(aBytes));
}

void EdgeMetrics::OnMirrorUpdateAbandoned(std::size_t aBytes) {
  m_mirrorBytes[0]->Increment(static_cast<double>(aBytes));
}

void EdgeMetrics::OnMirrorUpdateSent(bool aIsWhole) {
  m_mirrorUpdatesSent[aIsWhole ? 1 : 0]->Increment();
}

void EdgeMetrics::OnLoopTurn(Duration aTime) {
  m_loopTurn->Observe(InSeconds(aTime));
}

void EdgeMetrics::OnLoopHeld(Duration aTime) {
  m_loopHeld->Increment(InSeconds(aTime));
}

void EdgeMetrics::OnStoreReturned() {
  m_storeReturns->Increment();
}

void EdgeMetrics::OnLargeValueCall(LargeValueOutcome aOutcome) {
  m_largeValueCalls[static_cast<std::size_t>(aOutcome)]->Increment();
}

void EdgeMetrics::OnServerCheck(ServerLiveness aResult) {
  m_serverChecks[static_cast<std::size_t>(aResult)]->Increment();
}

void EdgeMetrics::OnOddEvent(EventFault aFault) {
  m_oddEvents[static_cast<std::size_t>(aFault)]->Increment();
}

void EdgeMetrics::OnContentRefused() {
  m_contentRefusals->Increment();
}

void EdgeMetrics::OnPassedOn() {
  m_passedOn->Increment();
}

void EdgeMetrics::OnAdmission(Admission aAdmission) {
  m_admissions[static_cast<std::size_t>(aAdmission)]->Increment();
}

void EdgeMetrics::OnEscalationWithheld() {
  m_escalationsWithheld->Increment();
}

void EdgeMetrics::SetSurge(SurgeState aState,
                           const std::array<std::size_t, kUrgencyLevels>& aWaiting) {
  m_surgeState->Set(static_cast<double>(aState));
  for (std::size_t urgency = 0; urgency < m_waiting.size(); ++urgency) {
    m_waiting[urgency]->Set(static_cast<double>(aWaiting[urgency]));
  }
}

void EdgeMetrics::SetLostPaths(std::size_t aCount) {
  m_lostPaths->Set(static_cast<double>(aCount));
}

void EdgeMetrics::SetRefusedContents(std::size_t aCount) {
  m_refusedContents->Set(static_cast<double>(aCount));
}

void EdgeMetrics::OnPermit(bool aIsGranted) {
  m_permits[aIsGranted ? 1 : 0]->Increment();
}

void EdgeMetrics::OnTurnedFromCold() {
  m_turnedFromCold->Increment();
}

void EdgeMetrics::SetColdServers(std::size_t aCount) {
  m_coldServers->Set(static_cast<double>(aCount));
}

void EdgeMetrics::SetSlowServers(std::size_t aCount) {
  m_slowServers->Set(static_cast<double>(aCount));
}

void EdgeMetrics::SetLimitedServers(std::size_t aCount) {
  m_limitedServers->Set(static_cast<double>(aCount));
}

void EdgeMetrics::SetServerWishes(std::size_t aLeaving, std::size_t aLeftAlone) {
  m_leavingServers->Set(static_cast<double>(aLeaving));
  m_leftAloneServers->Set(static_cast<double>(aLeftAlone));
}

void EdgeMetrics::SetEvacuation(std::size_t aZones, int aRunning) {
  m_evacuatedZones->Set(static_cast<double>(aZones));
  m_requestsInEvacuatedZones->Set(static_cast<double>(aRunning));
}

void EdgeMetrics::SetGauges(std::size_t aCallerChannels, std::size_t aServerChannels,
                            std::size_t aMembers, std::int64_t aConfigurationVersion,
                            Duration aStoreStateAge) {
  m_callerChannels->Set(static_cast<double>(aCallerChannels));
  m_serverChannels->Set(static_cast<double>(aServerChannels));
  m_members->Set(static_cast<double>(aMembers));
  m_configurationVersion->Set(static_cast<double>(aConfigurationVersion));
  m_storeStateAge->Set(InSeconds(aStoreStateAge));
}

std::string EdgeMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace fennelline

#include "LibCoordination/Rollout/RolloutController.h"

#include <algorithm>
#include <utility>

namespace fennelline {

void RolloutController::OnEngines(const std::vector<EngineVm>& aEngines) {
  std::map<BackendServerId, Engine> engines;
  for (const EngineVm& vm : aEngines) {
    const auto known = m_engines.find(vm.m_engine);
    const bool isSame = known != m_engines.end() && known->second.m_address == vm.m_address;
    engines[vm.m_engine] = isSame ? known->second : Engine{.m_address = vm.m_address};
  }
  m_engines = std::move(engines);
}

void RolloutController::OnEntries(std::vector<std::string> aAdminAddresses) {
  m_entries = std::move(aAdminAddresses);
}

void RolloutController::OnEnginePolled(const BackendServerId& aEngine,
                                       std::set<std::string> aVersions, Time aAsked) {
  const auto found = m_engines.find(aEngine);
  if (found != m_engines.end() && aAsked >= found->second.m_ignoreReportsBefore) {
    found->second.m_versions = std::move(aVersions);
  }
}

RolloutEffects RolloutController::OnOrderAnswered(std::uint64_t aNumber, OrderAnswer aAnswer,
                                                  const std::set<std::string>& aVersions,
                                                  Time aNow) {
  RolloutEffects effects;
  const auto order = m_orders.find(aNumber);
  if (order == m_orders.end()) {
    return effects;
  }
  const auto engine = m_engines.find(order->second.m_engine);
  m_orders.erase(order);
  if (engine != m_engines.end()) {
    engine->second.m_ignoreReportsBefore = aNow + m_settings.m_settleTime;
    engine->second.m_versions.reset();
    if (aAnswer == OrderAnswer::Done) {
      engine->second.m_versions = aVersions;
    }
  }
  if (aAnswer == OrderAnswer::StaleFence) {
    // Another process with a higher fence holds the lease, so this one sends no more orders.
    m_superseded = true;
    TimelineRecord record;
    record.m_name = "rollout.deposed";
    effects.emplace_back(RecordTimeline{std::move(record)});
  }
  return effects;
}

std::vector<EngineLoad> RolloutController::Engines() const {
  std::vector<EngineLoad> engines;
  for (const auto& [name, engine] : m_engines) {
    if (engine.m_versions) {
      engines.push_back({name, *engine.m_versions});
    }
  }
  return engines;
}

void RolloutController::PollIfDue(RolloutEffects& aEffects, Time aNow) {
  if (aNow >= m_nextPoll) {
    m_nextPoll = aNow + m_settings.m_pollInterval;
    for (const auto& [name, engine] : m_engines) {
      aEffects.emplace_back(PollEngine{.m_engine = name, .m_address = engine.m_address});
    }
  }
  if (aNow >= m_nextEvidence) {
    m_nextEvidence = aNow + m_settings.m_evidenceInterval;
    for (const std::string& address : m_entries) {
      aEffects.emplace_back(PollEvidence{.m_adminAddress = address});
    }
  }
}

void RolloutController::ExpireOrders(Time aNow) {
  std::vector<std::uint64_t> expired;
  for (const auto& [number, order] : m_orders) {
    if (aNow - order.m_sentAt >= m_settings.m_orderTimeout) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    OnOrderAnswered(number, OrderAnswer::Lost, {}, aNow);
  }
}

void RolloutController::SendOrders(RolloutEffects& aEffects, Time aNow) {
  // Without the state of every engine, the plan would select other engines than the previous holder
  // did.
  const bool allRead = std::all_of(m_engines.begin(), m_engines.end(),
                                   [](const std::pair<const BackendServerId, Engine>& aItem) {
                                     return aItem.second.m_versions.has_value();
                                   });
  if (!m_configuration || (!allRead && aNow - m_heldSince < m_settings.m_handoverWait)) {
    return;
  }
  const std::vector<EngineLoad> present = Engines();
  const std::vector<EngineLoad> wanted = PlanEngines(*m_configuration, present);
  for (std::size_t i = 0; i < present.size(); ++i) {
    const BackendServerId& name = present[i].m_engine;
    for (const std::string& version : present[i].m_versions) {
      if (!wanted[i].m_versions.contains(version)) {
        SendOrder(aEffects, name, EngineOrderKind::Unload, version, aNow);
      }
    }
    for (const std::string& version : wanted[i].m_versions) {
      if (!present[i].m_versions.contains(version)) {
        SendOrder(aEffects, name, EngineOrderKind::Load, version, aNow);
      }
    }
  }
}

void RolloutController::SendOrder(RolloutEffects& aEffects, const BackendServerId& aEngine,
                                  EngineOrderKind aOrder, const std::string& aVersion, Time aNow) {
  const bool isLoad = aOrder == EngineOrderKind::Load;
  const bool isPaced = isLoad && (aNow < m_nextLoad || OpenLoads() >= m_settings.m_maxLoads);
  if (isPaced || !MayOrder(aEngine, aNow)) {
    return;
  }
  if (isLoad) {
    m_nextLoad = aNow + m_settings.m_loadSpacing;
  }
  const std::uint64_t number = ++m_lastNumber;
  m_orders[number] = Order{.m_engine = aEngine, .m_order = aOrder, .m_sentAt = aNow};
  aEffects.emplace_back(SendEngineOrder{.m_number = number,
                                        .m_engine = aEngine,
                                        .m_address = m_engines.at(aEngine).m_address,
                                        .m_order = aOrder,
                                        .m_version = aVersion,
                                        .m_fence = *m_lease.Fence()});
}

bool RolloutController::MayOrder(const BackendServerId& aEngine, Time aNow) const {
  if (!ChecksFence(aEngine) && aNow - m_heldSince < m_settings.m_handoverWait) {
    return false;
  }
  return std::none_of(m_orders.begin(), m_orders.end(),
                      [&aEngine](const std::pair<const std::uint64_t, Order>& aItem) {
                        return aItem.second.m_engine == aEngine;
                      });
}

bool RolloutController::ChecksFence(const BackendServerId& aEngine) const {
  return m_settings.m_allEnginesCheck || m_settings.m_enginesThatCheck.contains(aEngine);
}

std::size_t RolloutController::OpenLoads() const {
  return static_cast<std::size_t>(std::count_if(
    m_orders.begin(), m_orders.end(), [](const std::pair<const std::uint64_t, Order>& aItem) {
      return aItem.second.m_order == EngineOrderKind::Load;
    }));
}

} // namespace fennelline

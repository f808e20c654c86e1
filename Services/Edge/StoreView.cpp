#include "Services/Edge/StoreView.h"

#include "LibRouting/CrashRecord.h"
#include "Services/Edge/CrashWatch.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ReplicaCodec.h"
#include "platform/RolloutCodec.h"
#include "platform/StoreCodec.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Time for a backend server to register again after a store outage during which its entry expired.
/// The platform's operators state this bound.
constexpr Duration kReregistrationGrace = Seconds(2);

} // namespace

void StoreView::OnStoreChanges(const std::vector<KeyValue>& aChanges, Revision aLapsedUpTo) {
  for (const KeyValue& key : aChanges) {
    const platform::StoreKey name = platform::ParseKey(key.m_key);
    switch (name.m_kind) {
      case platform::KeyKind::Configuration:
        ApplyConfiguration(key);
        break;
      case platform::KeyKind::Replica:
        ApplyReplica(name.m_name, key, aLapsedUpTo);
        break;
      case platform::KeyKind::RolloutOrder:
        ApplyOrder(name.m_name, key);
        break;
      case platform::KeyKind::RolloutRecord:
        ApplyRecord(name.m_name, key);
        break;
      case platform::KeyKind::CrashRecord:
        ApplyCrashRecord(name.m_name, key);
        break;
      case platform::KeyKind::RolloutStatus:
      case platform::KeyKind::Member:
      case platform::KeyKind::Other:
        break;
    }
  }
}

void StoreView::LogUnreadable(const KeyValue& aKey, const Error& aError) const {
  LogLine line("unreadable");
  line.Text("key", aKey.m_key).Count("revision", aKey.m_revision);
  line.Text("reason", aError.m_detail);
  m_context.Log(LogPriority::Notable, line);
}

void StoreView::ApplyConfiguration(const KeyValue& aKey) {
  if (aKey.m_removed) {
    return;
  }
  Result<RoutingConfiguration> configuration = platform::DecodeConfiguration(aKey.m_value);
  if (configuration.IsError()) {
    LogUnreadable(aKey, configuration.GetError());
    return;
  }
  const std::int64_t version = configuration.Get().m_version;
  const bool isOlder = m_context.m_routes && version <= m_context.m_routes->Version();
  LogLine line(isOlder ? "configuration-ignored" : "configuration");
  line.Count("version", version).Count("revision", aKey.m_revision);
  line.Count("routes", configuration.Get().m_routes.size());
  m_context.Log(LogPriority::Notable, line);
  if (!isOlder) {
    m_context.m_routes = std::make_shared<const RouteTable>(configuration.Take());
  }
}

void StoreView::ApplyReplica(const std::string& aId, const KeyValue& aKey, Revision aLapsedUpTo) {
  const Time now = m_context.m_loop.Now();
  LogLine line("backend");
  line.Text("backend", aId).Count("revision", aKey.m_revision);
  if (aKey.m_removed) {
    const std::shared_ptr<BackendLink> known = m_context.m_backends.Find(aId);
    const bool mayReturn =
      aKey.m_revision <= aLapsedUpTo && known && known->m_record.m_state == ReplicaState::Ready;
    line.Text("state", mayReturn ? "lapsed" : "gone");
    if (mayReturn) {
      m_context.m_backends.SetExpiry(aId, now + kReregistrationGrace);
    } else {
      m_context.m_backends.Remove(aId);
    }
    m_context.Log(LogPriority::Notable, line);
    return;
  }
  const Result<ReplicaRecord> record = platform::DecodeReplica(aId, aKey.m_value);
  if (record.IsError()) {
    LogUnreadable(aKey, record.GetError());
    m_context.m_backends.Remove(aId);
    return;
  }
  line.Text("state", NameOf(kReplicaStateNames, record.Get().m_state));
  line.Text("service", record.Get().m_service).Text("version", record.Get().m_version);
  line.Text("address", record.Get().m_address).Text("zone", record.Get().m_zone);
  m_context.Log(LogPriority::Notable, line);
  const std::shared_ptr<BackendLink> known = m_context.m_backends.Find(aId);
  if (known && known->m_record.m_startedAtMs != record.Get().m_startedAtMs) {
    m_context.m_crashWatch->OnCrashed(*known);
  }
  m_context.m_backends.Update(record.Get());
}

void StoreView::ApplyCrashRecord(const std::string& aFingerprint, const KeyValue& aKey) {
  if (aKey.m_removed) {
    // Its lease has ended. The entries that know of the crashes forget them by themselves.
    return;
  }
  const Result<CrashRecord> record = ParseCrashRecord(aKey.m_value);
  if (record.IsError()) {
    LogUnreadable(aKey, record.GetError());
    return;
  }
  m_context.m_crashWatch->OnRecord(aFingerprint, record.Get().m_refusals);
}

void StoreView::ApplyOrder(const std::string& aService, const KeyValue& aKey) {
  if (aKey.m_removed) {
    m_orders.erase(aService);
    UpdateRule(aService);
    return;
  }
  Result<RolloutOrder> order = platform::DecodeRolloutOrder(aService, aKey.m_value);
  if (order.IsError()) {
    LogUnreadable(aKey, order.GetError());
    return;
  }
  order.Get().m_revision = aKey.m_revision;
  LogLine line("rollout-order");
  line.Text("service", aService).Text("version", order.Get().m_version);
  line.Ms("within", order.Get().m_within).Count("revision", aKey.m_revision);
  m_context.Log(LogPriority::Notable, line);
  // A session stays alive while its requests follow each other within the session time. Its last
  // request may still be in transit.
  constexpr Duration kTransitTime = Milliseconds(500);
  // In the second half of a short order, sessions may change their version, and a canary must come
  // before all requests move.
  const Duration untilTrial =
    std::min(m_context.m_settings.m_sessionTime, order.Get().m_within / 2) + kTransitTime;
  m_context.m_versions[aService].m_trialFrom = m_context.m_loop.Now() + untilTrial;
  m_orders[aService] = order.Take();
  UpdateRule(aService);
}

void StoreView::ApplyRecord(const std::string& aService, const KeyValue& aKey) {
  if (aKey.m_removed) {
    m_records.erase(aService);
    UpdateRule(aService);
    return;
  }
  Result<RolloutRecord> record = ParseRolloutRecord(aKey.m_value);
  if (record.IsError()) {
    LogUnreadable(aKey, record.GetError());
    return;
  }
  record.Get().m_revision = aKey.m_revision;
  LogLine line("rollout");
  line.Text("service", aService).Text("version", record.Get().m_version);
  line.Text("phase", NameOf(kRolloutPhaseNames, record.Get().m_phase));
  line.Count("revision", aKey.m_revision).Count("order", record.Get().m_orderRevision);
  m_context.Log(LogPriority::Notable, line);
  m_records[aService] = record.Take();
  UpdateRule(aService);
}

void StoreView::UpdateRule(const std::string& aService) {
  const auto order = m_orders.find(aService);
  const auto record = m_records.find(aService);
  VersionRule& rule = m_context.m_versions[aService];
  if (order == m_orders.end()) {
    rule = {};
    return;
  }
  rule.m_version = order->second.m_version;
  const bool hasStarted =
    record != m_records.end() && record->second.m_orderRevision == order->second.m_revision;
  rule.m_isPending = !hasStarted;
  if (!hasStarted) {
    rule.m_preference = VersionPreference::Never;
    return;
  }
  switch (record->second.m_phase) {
    case RolloutPhase::Canary:
      rule.m_preference = VersionPreference::Trial;
      break;
    case RolloutPhase::Moving:
    case RolloutPhase::Succeeded:
      rule.m_preference = VersionPreference::Prefer;
      break;
    case RolloutPhase::RolledBack:
      rule.m_preference = VersionPreference::Never;
      break;
  }
}

} // namespace fennelline

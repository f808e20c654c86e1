#include "Services/Edge/StoreView.h"

#include "LibRouting/CrashRecord.h"
#include "Services/Edge/CrashWatch.h"
#include "Services/Edge/RoomQueue.h"
#include "Services/Edge/ServerPermits.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ReplicaCodec.h"
#include "platform/RolloutCodec.h"
#include "platform/StoreCodec.h"

#include <algorithm>
#include <set>
#include <spdlog/fmt/fmt.h>

namespace fennelline {

namespace {

/// Time for a backend server to register again after a store outage during which its entry expired.
/// The platform's operators state this bound.
constexpr Duration kReregistrationGrace = Seconds(2);

/// Interval of checks whether the mirror is current again.
constexpr Duration kSettleRetryDelay = Milliseconds(250);

/// The store removes the entry of a server that has been silent for this many heartbeats.
constexpr std::int64_t kLeaseHeartbeats = 3;

} // namespace

void StoreView::OnStoreChanges(const std::vector<KeyValue>& aChanges, const ChangeOrigin& aOrigin,
                               const StoreMirror& aMirror) {
  if (aOrigin.m_isReturn) {
    OnReturn(aChanges, aOrigin.m_lapsedUpTo, aMirror);
    m_lastChange = aMirror.LastChange();
    return;
  }
  m_lastChange = aMirror.LastChange();
  // A record of a roll-out is judged by its order, so orders go first.
  for (const bool isRecord : {false, true}) {
    for (const KeyValue& key : aChanges) {
      const platform::KeyKind kind = platform::ParseKey(key.m_key).m_kind;
      if ((kind == platform::KeyKind::RolloutRecord) == isRecord) {
        m_withheld.erase(key.m_key);
        Apply(key, aOrigin.m_lapsedUpTo);
      }
    }
  }
}

void StoreView::Apply(const KeyValue& aKey, Revision aLapsedUpTo) {
  const platform::StoreKey name = platform::ParseKey(aKey.m_key);
  switch (name.m_kind) {
    case platform::KeyKind::Configuration:
      ApplyConfiguration(aKey);
      break;
    case platform::KeyKind::Replica:
      ApplyReplica(name.m_name, aKey, aLapsedUpTo);
      break;
    case platform::KeyKind::RolloutOrder:
      ApplyOrder(name.m_name, aKey);
      break;
    case platform::KeyKind::Evacuation:
      ApplyEvacuation(name.m_name, aKey);
      break;
    case platform::KeyKind::RolloutRecord:
      ApplyRecord(name.m_name, aKey);
      break;
    case platform::KeyKind::CrashRecord:
      ApplyCrashRecord(name.m_name, aKey);
      break;
    case platform::KeyKind::RolloutStatus:
    case platform::KeyKind::Member:
    case platform::KeyKind::Other:
      break;
  }
}

bool StoreView::IsSettling() const {
  return m_context.m_loop.Now() < m_settlesAt;
}

void StoreView::OnReturn(const std::vector<KeyValue>& aChanges, Revision aLapsedUpTo,
                         const StoreMirror& aMirror) {
  const Duration settleTime =
    m_context.m_settings.m_heartbeat * kLeaseHeartbeats + kReregistrationGrace;
  m_settlesAt = m_context.m_loop.Now() + settleTime;
  m_context.m_loop.At(m_settlesAt, [this, &aMirror] { Settle(aMirror); });
  // What an earlier copy had as well is no change, and stays withheld.
  CompareOrders(aMirror);
  CompareEvacuations(aMirror);
  CompareRecords(aMirror);
  for (const KeyValue& key : aChanges) {
    const platform::KeyKind kind = platform::ParseKey(key.m_key).m_kind;
    const bool isCompared = kind == platform::KeyKind::RolloutOrder ||
                            kind == platform::KeyKind::Evacuation ||
                            kind == platform::KeyKind::RolloutRecord;
    const Result<ReplicaRecord> replica =
      kind == platform::KeyKind::Replica && !key.m_removed
        ? platform::DecodeReplica(platform::ParseKey(key.m_key).m_name, key.m_value)
        : Error{};
    if (!replica.IsError() && IsOutdated(replica.Get())) {
      m_withheld.insert_or_assign(key.m_key, IdentityOf(replica.Get()));
    } else if (kind == platform::KeyKind::CrashRecord && key.m_removed) {
      RestoreCrashRecord(key);
    } else if (!isCompared) {
      Apply(key, aLapsedUpTo);
    }
  }
  for (const auto& [key, server] : m_withheld) {
    LogLine line("withheld");
    line.Text("key", key).Ms("for", settleTime);
    m_context.Log(LogPriority::Notable, line);
  }
}

void StoreView::CompareOrders(const StoreMirror& aMirror) {
  for (auto& [service, order] : m_orders) {
    const std::string name = platform::MakeKey(platform::KeyKind::RolloutOrder, service);
    const KeyValue* key = aMirror.Find(name);
    const Result<RolloutOrder> copied =
      key == nullptr ? RolloutOrder{} : platform::DecodeRolloutOrder(service, key->m_value);
    if (!copied.IsError() && order.IsSameAs(copied.Get())) {
      Renumber(order, key->m_revision);
      m_withheld.erase(name);
    } else {
      m_withheld.try_emplace(name);
    }
  }
  for (const KeyValue& key :
       aMirror.FindPrefix(platform::MakeKey(platform::KeyKind::RolloutOrder, ""))) {
    const std::string service = platform::ParseKey(key.m_key).m_name;
    if (!m_orders.contains(service)) {
      ApplyOrder(service, key);
    }
  }
}

void StoreView::CompareEvacuations(const StoreMirror& aMirror) {
  m_context.m_evacuated.BeginEra();
  for (const std::string& zone : m_context.m_settings.m_zones) {
    const std::string name = platform::MakeKey(platform::KeyKind::Evacuation, zone);
    const KeyValue* key = aMirror.Find(name);
    const bool isInCopy = key != nullptr && !platform::DecodeEvacuation(key->m_value).IsError();
    // A key that this entry would have heard of, had it been there before, was removed since the
    // copy was made.
    const bool isNews = isInCopy && key->m_revision > m_lastChange;
    m_withheld.erase(name);
    if (isInCopy && (isNews || m_context.m_evacuated.IsEvacuated(zone))) {
      ApplyEvacuation(zone, *key);
    } else if (isInCopy || m_context.m_evacuated.IsEvacuated(zone)) {
      m_withheld.try_emplace(name);
    }
  }
}

void StoreView::CompareRecords(const StoreMirror& aMirror) {
  for (auto& [service, record] : m_records) {
    if (aMirror.Find(platform::MakeKey(platform::KeyKind::RolloutRecord, service)) == nullptr) {
      record.m_revision = kAbsent;
      record.m_isStored = false;
    }
  }
  for (const KeyValue& key :
       aMirror.FindPrefix(platform::MakeKey(platform::KeyKind::RolloutRecord, ""))) {
    ApplyRecord(platform::ParseKey(key.m_key).m_name, key);
  }
}

std::vector<std::uint64_t> StoreView::WithheldServers() const {
  std::vector<std::uint64_t> servers;
  for (const auto& [key, server] : m_withheld) {
    if (server) {
      servers.push_back(*server);
    }
    const platform::StoreKey name = platform::ParseKey(key);
    if (name.m_kind != platform::KeyKind::Evacuation ||
        !m_context.m_evacuated.IsEvacuated(name.m_name)) {
      continue;
    }
    for (const std::shared_ptr<BackendLink>& backend : m_context.m_backends.All()) {
      if (backend->m_record.m_zone == name.m_name) {
        servers.push_back(backend->m_identity);
      }
    }
  }
  return servers;
}

void StoreView::OnWithheldByOthers(std::uint64_t aServer, Time aUntil) {
  const Time now = m_context.m_loop.Now();
  std::erase_if(m_withheldByOthers, [now](const auto& aEntry) { return aEntry.second <= now; });
  m_withheldByOthers[aServer] = aUntil;
  m_context.m_backends.LeaveAlone(aServer, aUntil);
}

bool StoreView::IsOutdated(const ReplicaRecord& aCopied) const {
  const std::shared_ptr<BackendLink> known = m_context.m_backends.Find(aCopied.m_id);
  if (!known) {
    // It had left before the return, unless it has started since.
    return true;
  }
  const std::int64_t knownStart = known->m_record.m_startedAtMs;
  const bool isBeforeItsLeaving = aCopied.m_startedAtMs == knownStart &&
                                  known->m_record.m_state == ReplicaState::Draining &&
                                  aCopied.m_state == ReplicaState::Ready;
  return aCopied.m_startedAtMs < knownStart || isBeforeItsLeaving;
}

void StoreView::Settle(const StoreMirror& aMirror) {
  if (IsSettling()) {
    // The store has returned again.
    return;
  }
  if (!m_withheld.empty() && aMirror.ConfirmedAt() < m_settlesAt) {
    // What the mirror has may have been removed meanwhile.
    m_context.m_loop.After(kSettleRetryDelay, [this, &aMirror] { Settle(aMirror); });
    return;
  }
  for (const auto& [name, server] : std::exchange(m_withheld, {})) {
    const KeyValue* key = aMirror.Find(name);
    Apply(key == nullptr ? KeyValue{.m_key = name, .m_value = {}, .m_removed = true} : *key, 0);
  }
}

void StoreView::Renumber(RolloutOrder& aOrder, Revision aRevision) {
  const Revision before = std::exchange(aOrder.m_revision, aRevision);
  if (before == aRevision) {
    return;
  }
  const auto record = m_records.find(aOrder.m_service);
  if (record != m_records.end() && record->second.m_orderRevision == before) {
    record->second.m_orderRevision = aRevision;
    record->second.m_isStored = false;
  }
  LogLine line("rollout-order-renumbered");
  line.Text("service", aOrder.m_service).Text("version", aOrder.m_version);
  line.Count("revision-before", before).Count("revision", aRevision);
  m_context.Log(LogPriority::Notable, line);
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
    const auto withheld =
      known ? m_withheldByOthers.find(known->m_identity) : m_withheldByOthers.end();
    const bool isWithheld = withheld != m_withheldByOthers.end() && now < withheld->second;
    const bool mayReturn = aKey.m_revision <= aLapsedUpTo && known && !isWithheld &&
                           known->m_record.m_state == ReplicaState::Ready;
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
  if (m_context.m_permits != nullptr) {
    m_context.m_permits->LogIfCold(*m_context.m_backends.Find(aId));
  }
}

void StoreView::RestoreCrashRecord(const KeyValue& aKey) const {
  const Result<CrashRecord> record = ParseCrashRecord(aKey.m_value);
  if (!record.IsError()) {
    m_context.m_crashWatch->OnRecordLost(platform::ParseKey(aKey.m_key).m_name,
                                         record.Get().m_refusals);
  }
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
  const auto known = m_orders.find(aService);
  if (IsSettling() && known != m_orders.end() && known->second.IsSameAs(order.Get())) {
    Renumber(known->second, aKey.m_revision);
    return;
  }
  order.Get().m_serial = ++m_lastOrderSerial;
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

void StoreView::OnSettingsChanged(const StoreMirror& aMirror) {
  for (const KeyValue& key :
       aMirror.FindPrefix(platform::MakeKey(platform::KeyKind::Evacuation, ""))) {
    if (!m_withheld.contains(key.m_key)) {
      ApplyEvacuation(platform::ParseKey(key.m_key).m_name, key);
    }
  }
}

void StoreView::ApplyEvacuation(const std::string& aZone, const KeyValue& aKey) {
  const DeploymentSettings& settings = m_context.m_settings;
  const Time now = m_context.m_loop.Now();
  const bool isKnown =
    std::find(settings.m_zones.begin(), settings.m_zones.end(), aZone) != settings.m_zones.end();
  if (aKey.m_removed) {
    if (isKnown && m_context.m_evacuated.Clear(aZone, aKey.m_revision, now)) {
      OnEvacuationChanged(aZone, aKey);
    }
    return;
  }
  const Result<void> order = platform::DecodeEvacuation(aKey.m_value);
  if (order.IsError()) {
    LogUnreadable(aKey, order.GetError());
  } else if (!isKnown || !settings.m_evacuateTime) {
    LogLine line("evacuation-ignored");
    line.Text("zone", aZone).Count("revision", aKey.m_revision);
    line.Text("reason", isKnown ? "the settings have no evacuate-ms" : "unknown data centre");
    m_context.Log(LogPriority::Notable, line);
  } else if (m_context.m_evacuated.Set(aZone, aKey.m_revision, now)) {
    OnEvacuationChanged(aZone, aKey);
  }
}

void StoreView::OnEvacuationChanged(const std::string& aZone, const KeyValue& aKey) {
  int running = 0;
  std::set<std::string> services;
  for (const std::shared_ptr<BackendLink>& backend : m_context.m_backends.All()) {
    if (backend->m_record.m_zone == aZone) {
      running += backend->m_runningRequests;
      services.insert(backend->m_record.m_service);
      if (aKey.m_removed) {
        backend->m_cold.OnReturned(m_context.m_loop.Now());
      }
    }
  }
  LogLine line("evacuation");
  line.Text("zone", aZone).Text("state", aKey.m_removed ? "ended" : "begun");
  line.Count("revision", aKey.m_revision).Count("running", running);
  m_context.Log(LogPriority::Notable, line);
  // Requests that wait for room choose again, or are refused if no other server is left.
  for (const std::string& service : services) {
    for (std::size_t left = m_context.m_room->CountWaiting(service); left > 0; --left) {
      m_context.m_room->OnRoom(service);
    }
  }
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
  const bool isKept = IsDecisionLost(aService, record.Get());
  LogLine line(isKept ? "rollout-ignored" : "rollout");
  line.Text("service", aService).Text("version", record.Get().m_version);
  line.Text("phase", NameOf(kRolloutPhaseNames, record.Get().m_phase));
  line.Count("revision", aKey.m_revision).Count("order", record.Get().m_orderRevision);
  line.Text("failed-versions", fmt::format("{}", fmt::join(record.Get().m_failedVersions, ",")));
  m_context.Log(LogPriority::Notable, line);
  if (isKept) {
    m_records[aService].m_revision = aKey.m_revision;
    m_records[aService].m_isStored = false;
    return;
  }
  m_records[aService] = record.Take();
  UpdateRule(aService);
}

bool StoreView::IsDecisionLost(const std::string& aService, const RolloutRecord& aStored) const {
  const auto order = m_orders.find(aService);
  const auto known = m_records.find(aService);
  if (order == m_orders.end() || known == m_records.end() ||
      known->second.m_orderRevision != order->second.m_revision) {
    return false;
  }
  // The copy may be of a time when the order was not yet known, or had another revision.
  const bool isOfOtherOrder = aStored.m_orderRevision != known->second.m_orderRevision;
  return known->second.IsAheadOf(aStored) || (IsSettling() && isOfOtherOrder);
}

void StoreView::UpdateRule(const std::string& aService) {
  const auto order = m_orders.find(aService);
  const auto record = m_records.find(aService);
  VersionRule& rule = m_context.m_versions[aService];
  const RolloutRecord last = record == m_records.end() ? RolloutRecord{} : record->second;
  if (order == m_orders.end()) {
    rule = {.m_failedVersions = FailedVersions(last, {})};
    return;
  }
  rule.m_version = order->second.m_version;
  const bool hasStarted =
    record != m_records.end() && record->second.m_orderRevision == order->second.m_revision;
  rule.m_failedVersions = hasStarted ? last.m_failedVersions : FailedVersions(last, rule.m_version);
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
      if (rule.m_preference != VersionPreference::Prefer) {
        rule.m_rampUntil = m_context.m_loop.Now() + RampTime(order->second.m_within);
      }
      rule.m_preference = VersionPreference::Prefer;
      break;
    case RolloutPhase::Succeeded:
      rule.m_rampUntil = {};
      rule.m_preference = VersionPreference::Prefer;
      break;
    case RolloutPhase::RolledBack:
      rule.m_preference = VersionPreference::Never;
      break;
  }
}

} // namespace fennelline

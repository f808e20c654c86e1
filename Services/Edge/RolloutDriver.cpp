#include "Services/Edge/RolloutDriver.h"

#include "platform/RolloutCodec.h"
#include "platform/StoreCodec.h"

#include <algorithm>

namespace fennelline {

namespace {

constexpr Duration kTickInterval = Milliseconds(250);

/// Interval between an entry's reports, in proportion to the entries, so that those that receive
/// them get some 330 a second at most, but at least one from each while it says what still runs.
constexpr Duration kReportSpacing = Milliseconds(3);
constexpr Duration kMaxReportInterval = Seconds(1);

/// Number of entries that receive reports. More than one, so that no evidence is lost if the first
/// fails.
constexpr std::size_t kReportReceivers = 3;

/// Additional delay per rank, where the first entry decides immediately, before an entry decides in
/// place of those ranked before it.
constexpr Duration kRankDelay = Milliseconds(700);

/// Reports stop this long after the order's time limit, since nothing is decided any more.
constexpr Duration kReportsAfterEnd = Seconds(5);

} // namespace

RolloutDriver::RolloutDriver(EdgeContext& aContext, StoreView& aStoreView, Members& aMembers,
                             StoreClient& aStore)
  : m_context(aContext)
  , m_storeView(aStoreView)
  , m_members(aMembers)
  , m_store(aStore) {}

void RolloutDriver::Start() {
  m_context.m_loop.Every(kTickInterval, [this] { Tick(); });
}

RolloutRecord RolloutDriver::RecordOf(const RolloutOrder& aOrder) const {
  const auto found = m_storeView.Records().find(aOrder.m_service);
  return found == m_storeView.Records().end() ? RolloutRecord{} : found->second;
}

void RolloutDriver::OnPace(const VersionEvidenceEvent& aEvent) {
  const auto order = m_storeView.Orders().find(aEvent.m_service);
  const bool isNew =
    order != m_storeView.Orders().end() && order->second.m_version == aEvent.m_version;
  if (!isNew) {
    m_paces.Learn(aEvent.m_kind, aEvent.m_latency);
    return;
  }
  LocalEvidence& local = m_localEvidence[aEvent.m_service];
  const VersionRule& rule = m_context.m_versions[aEvent.m_service];
  const bool haveAllMoved =
    rule.m_preference == VersionPreference::Prefer && m_context.m_loop.Now() >= rule.m_rampUntil;
  if (local.m_orderSerial != order->second.m_serial || haveAllMoved ||
      !m_paces.Knows(aEvent.m_kind)) {
    return;
  }
  PaceEvidence& evidence = local.m_report.m_paces[aEvent.m_server];
  ++evidence.m_streams;
  evidence.m_delayed += IsDelayed(aEvent.m_kind, aEvent.m_latency) ? 1 : 0;
}

void RolloutDriver::OnEvidence(const VersionEvidenceEvent& aEvent) {
  const VersionRole role = RoleOf(m_context.m_versions[aEvent.m_service], aEvent.m_version);
  if (role == VersionRole::Failed) {
    // It says nothing of the version that the new one is compared with.
    return;
  }
  if (aEvent.m_outcome == VersionOutcome::Paced) {
    OnPace(aEvent);
    return;
  }
  const bool hasLatency =
    aEvent.m_outcome == VersionOutcome::Answered && aEvent.m_latency > Duration(0);
  const bool isCompared = hasLatency && m_baseline.Knows(aEvent.m_kind);
  const bool isSlow = hasLatency && m_baseline.IsSlow(aEvent.m_kind, aEvent.m_latency);
  const auto order = m_storeView.Orders().find(aEvent.m_service);
  const bool isNew =
    order != m_storeView.Orders().end() && order->second.m_version == aEvent.m_version;
  if (!isNew && hasLatency) {
    m_baseline.Learn(aEvent.m_kind, aEvent.m_latency);
  }
  if (order == m_storeView.Orders().end()) {
    return;
  }
  LocalEvidence& local = m_localEvidence[aEvent.m_service];
  if (local.m_orderSerial != order->second.m_serial) {
    return;
  }
  const bool isStalled = aEvent.m_outcome == VersionOutcome::Stalled;
  const bool isBad = isSlow || aEvent.m_outcome != VersionOutcome::Answered;
  if (isBad) {
    LogLine line("version-evidence");
    line.Text("service", aEvent.m_service).Text("version", aEvent.m_version);
    line.Text("kind", aEvent.m_kind).Flag("slow", isSlow).Flag("stalled", isStalled);
    line.Ms("pace", aEvent.m_latency);
    m_context.Log(LogPriority::Notable, line);
  }
  RouteEvidence& evidence = local.m_report.m_routes[aEvent.m_route];
  if (isStalled || (isSlow && aEvent.m_isStream)) {
    const std::int64_t second = (m_context.m_loop.Now() - local.m_orderSeen) / Seconds(1);
    local.m_report.m_slowServers[{aEvent.m_server, second}] = isNew;
  } else if (aEvent.m_isBroken) {
    local.m_report.m_failedServers[aEvent.m_server] = isNew;
  } else if (isNew) {
    ++(isBad ? evidence.m_newBad : evidence.m_newGood);
    evidence.m_newSlow += isSlow ? 1 : 0;
    evidence.m_newNotCompared += isBad || isCompared ? 0 : 1;
  } else {
    ++(isBad ? evidence.m_oldBad : evidence.m_oldGood);
  }
}

void RolloutDriver::OnReport(const RolloutReport& aReport) {
  const auto order = m_storeView.Orders().find(aReport.m_service);
  // After a return of the store, an entry that does not know of it yet may report on an order by a
  // higher revision than the one that the order has now. Reports come again.
  if (order == m_storeView.Orders().end() || order->second.m_revision != aReport.m_orderRevision) {
    return;
  }
  m_evaluators[aReport.m_service].OnReport(aReport, m_context.m_loop.Now());
}

bool RolloutDriver::IsInProgress(const RolloutOrder& aOrder) const {
  const RolloutRecord record = RecordOf(aOrder);
  const bool isOver =
    record.m_orderRevision == aOrder.m_revision &&
    (record.m_phase == RolloutPhase::Succeeded || record.m_phase == RolloutPhase::RolledBack);
  return !isOver;
}

void RolloutDriver::Tick() {
  const Time now = m_context.m_loop.Now();
  for (const auto& [service, order] : m_storeView.Orders()) {
    LocalEvidence& local = m_localEvidence[service];
    if (local.m_orderSerial != order.m_serial) {
      const std::uint64_t revisionBefore = local.m_report.m_orderRevision;
      local = {.m_report = {}, .m_orderSerial = order.m_serial, .m_orderSeen = now};
      local.m_report.m_entry = m_members.Self().m_entry;
      local.m_report.m_service = service;
      local.m_report.m_orderRevision = revisionBefore;
    }
    if (std::exchange(local.m_report.m_orderRevision, order.m_revision) > order.m_revision) {
      // The store came back from a copy. The entries report all that they have seen again.
      m_evaluators.erase(service);
    }
    const bool isReporting =
      IsInProgress(order) && now - local.m_orderSeen < order.m_within + kReportsAfterEnd;
    if (isReporting && now >= local.m_nextReport) {
      const Duration interval = std::min(
        kMaxReportInterval, kReportSpacing * static_cast<std::int64_t>(m_context.m_entries));
      // Ticks are not exact.
      local.m_nextReport = now + interval - kTickInterval / 2;
      Report(order);
    }
    Advance(order);
  }
}

void RolloutDriver::Report(const RolloutOrder& aOrder) {
  const LocalEvidence& local = m_localEvidence[aOrder.m_service];
  RolloutReport report = local.m_report;
  report.m_orderAge = m_context.m_loop.Now() - local.m_orderSeen;
  report.m_recordRevision = RecordOf(aOrder).m_revision;
  for (const std::shared_ptr<BackendLink>& backend :
       m_context.m_backends.OfService(aOrder.m_service)) {
    report.m_oldVersionRunning +=
      backend->m_record.m_version == aOrder.m_version ? 0 : backend->m_runningRequests;
  }
  OnReport(report);
  std::size_t receivers = 0;
  for (const MemberDigest& member : m_members.All()) {
    if (member.m_state != MemberState::Alive || receivers == kReportReceivers) {
      continue;
    }
    ++receivers;
    if (member.m_entry != report.m_entry) {
      m_send(member.m_datagramAddress, report);
    }
  }
}

void RolloutDriver::Advance(const RolloutOrder& aOrder) {
  if (m_isWritingRollout || m_context.m_stopRequestedAt) {
    return;
  }
  const Time now = m_context.m_loop.Now();
  const RolloutRecord record = RecordOf(aOrder);
  const bool hasStarted = record.m_orderRevision == aOrder.m_revision;
  RolloutRecord next = {.m_service = aOrder.m_service,
                        .m_version = aOrder.m_version,
                        .m_orderRevision = aOrder.m_revision,
                        .m_phase = RolloutPhase::Canary,
                        .m_failedVersions = FailedVersions(record, aOrder.m_version)};
  if (hasStarted) {
    next.m_failedVersions = record.m_failedVersions;
    next.m_phase =
      m_evaluators[aOrder.m_service].Evaluate(aOrder, record, m_context.m_entries, now);
  }
  const bool isDue = !hasStarted || !record.m_isStored || next.m_phase != record.m_phase;
  const bool hasStatus = hasStarted && !isDue;
  if (!isDue) {
    m_dueSince.erase(aOrder.m_service);
  }
  const Time since = isDue ? m_dueSince.try_emplace(aOrder.m_service, now).first->second : now;
  const std::size_t rank = m_members.Rank();
  if (isDue && now - since >= kRankDelay * static_cast<std::int64_t>(rank)) {
    LogLine line("rollout-decision");
    line.Text("service", aOrder.m_service).Text("version", aOrder.m_version);
    line.Text("phase", NameOf(kRolloutPhaseNames, next.m_phase));
    line.Text("reason", m_evaluators[aOrder.m_service].Reason());
    line.Ms("order-age", m_evaluators[aOrder.m_service].OrderAge(now)).Count("rank", rank);
    m_context.Log(LogPriority::Notable, line);
    Write(next, record.m_revision);
  } else if (hasStatus && rank < kReportReceivers) {
    WriteStatus(record);
  }
}

void RolloutDriver::Write(const RolloutRecord& aRecord, Revision aExpected) {
  m_isWritingRollout = true;
  const PutKey put = {.m_key =
                        platform::MakeKey(platform::KeyKind::RolloutRecord, aRecord.m_service),
                      .m_value = WriteRolloutRecord(aRecord),
                      .m_expected = aExpected};
  m_store.Call(put, [this, service = aRecord.m_service](const PlatformReply& aReply) {
    m_isWritingRollout = false;
    if (aReply.m_status != PlatformStatus::Ok) {
      // The outcome of the write may be unknown. The store mirror will show it, and the next tick
      // decides again.
      LogLine line("rollout-write-failed");
      line.Text("service", service).Count("status", static_cast<int>(aReply.m_status));
      m_context.Log(LogPriority::Notable, line);
    }
  });
}

void RolloutDriver::WriteStatus(const RolloutRecord& aRecord) {
  const std::string key = platform::MakeKey(platform::KeyKind::RolloutStatus, aRecord.m_service);
  const std::string status = platform::EncodeRolloutStatus(aRecord);
  const KeyValue* current = m_store.Mirror().Find(key);
  if (current != nullptr && current->m_value == status) {
    return;
  }
  m_isWritingRollout = true;
  m_store.Call(PutKey{.m_key = key,
                      .m_value = status,
                      .m_expected = current == nullptr ? kAbsent : current->m_revision},
               [this](const PlatformReply&) { m_isWritingRollout = false; });
}

} // namespace fennelline

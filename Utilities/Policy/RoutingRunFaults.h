#pragma once

// The members of RoutingRun for deadlines, hedges, reports and crashes. Include RoutingRun.h.

#include "Utilities/Policy/RoutingRun.h"

#include <algorithm>

namespace fennelline {

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnDeadline(std::size_t aRequest) {
  RequestRecord& record = m_result.m_requests[aRequest];
  if (record.m_end != RequestEnd::Open) {
    return;
  }
  if (m_settings.m_cancelsAtDeadline) {
    CloseAttempts(aRequest);
    End(aRequest, RequestEnd::Late);
  }
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnHedge(std::size_t aRequest) {
  const Handling& handling = m_handling[aRequest];
  const RequestRecord& record = m_result.m_requests[aRequest];
  if (record.m_end != RequestEnd::Open || handling.m_attempts.empty()) {
    return;
  }
  EntryBook& entry = m_entries[handling.m_entry];
  const VersionEstimate estimate = EstimateOf(handling.m_entry, aRequest);
  const Duration elapsed = m_now - m_attempts[handling.m_attempts.front()].m_sentAt;
  const HedgeQuery query{.m_idempotent = KindOf(aRequest).m_idempotent,
                         .m_streamStarted = handling.m_started,
                         .m_elapsed = elapsed,
                         .m_usualFirstByte = elapsed,
                         .m_timeLeft = DeadlineOf(aRequest) - m_now,
                         .m_expectedTime = estimate.m_firstToken,
                         .m_poolFree = entry.PoolFree(m_now)};
  if (ShouldHedge(query) && entry.m_retries.TrySpend()) {
    Send(aRequest, *Choose(aRequest), true);
  }
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnMakeReport(std::size_t aEngine) {
  Observe(aEngine);
  PendingReport pending{.m_engine = aEngine,
                        .m_report = {.m_load = m_engines[aEngine].Load(), .m_madeAt = m_now},
                        .m_changes = m_engines[aEngine].TakeCacheChanges(),
                        .m_gap = m_random.Chance(m_settings.m_cacheGapShare)};
  m_reports.push_back(std::move(pending));
  Push(m_now + m_settings.m_reportLag, EventKind::SeeReport, m_reports.size() - 1, 0);
  Push(m_now + m_settings.m_cacheLag, EventKind::SeeReport, m_reports.size() - 1, 1);
  if (m_now < Time{} + m_settings.m_length) {
    Push(m_now + m_settings.m_reportInterval, EventKind::MakeReport, aEngine);
  }
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnSeeReport(std::size_t aReport) {
  PendingReport& pending = m_reports[aReport];
  const bool isCache = m_now >= pending.m_report.m_madeAt + m_settings.m_cacheLag;
  for (EntryBook& entry : m_entries) {
    if (!isCache) {
      entry.OnReport(pending.m_engine, pending.m_report);
      continue;
    }
    const std::span<const CacheChange> changes(pending.m_changes);
    entry.OnCacheChanges(pending.m_engine, pending.m_gap ? changes.first(0) : changes,
                         pending.m_gap);
  }
  if (isCache) {
    pending.m_changes.clear();
  }
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnCrash(std::size_t aEngine) {
  Observe(aEngine);
  const std::vector<std::uint64_t> lost = m_engines[aEngine].Crash(m_now);
  for (const std::uint64_t attempt : lost) {
    OnLost(attempt);
  }
  if (m_now < Time{} + m_settings.m_length) {
    Push(m_now + Duration(static_cast<std::int64_t>(
                   m_random.Exponential(static_cast<double>(m_settings.m_crashInterval.count())))),
         EventKind::Crash, aEngine);
  }
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnLost(std::size_t aAttempt) {
  const Attempt& attempt = m_attempts[aAttempt];
  if (!attempt.m_open) {
    return;
  }
  CloseAttempt(aAttempt, true);
  EntryBook& entry = m_entries[attempt.m_entry];
  const std::size_t request = attempt.m_request;
  const bool hasOther =
    std::any_of(m_handling[request].m_attempts.begin(), m_handling[request].m_attempts.end(),
                [this](std::size_t aOther) { return m_attempts[aOther].m_open; });
  if (hasOther) {
    return;
  }
  const bool mayRetry =
    m_settings.m_retriesAndHedges && KindOf(request).m_idempotent && m_now < DeadlineOf(request);
  if (mayRetry && entry.m_retries.TrySpend()) {
    Send(request, *Choose(request), true);
    return;
  }
  End(request, RequestEnd::Failed);
}

} // namespace fennelline

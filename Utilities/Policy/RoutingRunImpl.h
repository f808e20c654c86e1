#pragma once

// The members of RoutingRun, a template. Include RoutingRun.h.

#include "Utilities/Policy/RoutingRun.h"

#include <algorithm>

namespace fennelline {

/// The version that all engines of a run serve.
inline const std::string kRunVersion = "engine@1";

/// One way between a caller and its entry.
constexpr Duration kCallerDistance = Milliseconds(1);

/// Hedges of an idempotent request wait for this many times the usual first-token time.
constexpr int kHedgeAfterFirstTokens = 4;
constexpr Duration kLeastHedgeDelay = Milliseconds(150);

template<ReplicaPolicy Policy>
RoutingResult RoutingRun<Policy>::Run() {
  const std::vector<Arrival> arrivals =
    MakeArrivals(m_settings.m_mix, m_settings.m_requestsPerSecond, m_settings.m_length, m_random);
  m_handling.resize(arrivals.size());
  for (const Arrival& arrival : arrivals) {
    Push(arrival.m_at + kCallerDistance, EventKind::Try, m_result.m_requests.size());
    m_result.m_requests.push_back({.m_arrival = arrival});
  }
  m_engines.assign(m_settings.m_engines, EngineFake(m_settings.m_engine));
  m_wakeGenerations.assign(m_settings.m_engines, 0);
  m_policies.resize(m_settings.m_entries);
  for (std::size_t entry = 0; entry < m_settings.m_entries; ++entry) {
    std::vector<Duration> distances;
    for (std::size_t engine = 0; engine < m_settings.m_engines; ++engine) {
      distances.push_back(Distance(entry, engine));
    }
    m_entries.emplace_back(m_settings.m_engines, m_settings.m_engine, std::move(distances));
  }
  for (std::size_t engine = 0; engine < m_settings.m_engines; ++engine) {
    const auto offset = static_cast<std::int64_t>(
      m_random.Below(static_cast<std::uint64_t>(m_settings.m_reportInterval.count())));
    Push(Time{} + Duration(offset), EventKind::MakeReport, engine);
    if (m_settings.m_crashInterval > Duration(0)) {
      Push(Time{} + Duration(static_cast<std::int64_t>(m_random.Exponential(
                      static_cast<double>(m_settings.m_crashInterval.count())))),
           EventKind::Crash, engine);
    }
  }
  while (!m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    Handle(event);
  }
  return std::move(m_result);
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::Push(Time aAt, EventKind aKind, std::size_t aSubject,
                              std::uint64_t aGeneration) {
  ++m_order;
  m_events.push({.m_at = std::max(aAt, m_now),
                 .m_order = m_order,
                 .m_kind = aKind,
                 .m_subject = aSubject,
                 .m_generation = aGeneration});
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::Handle(const Event& aEvent) {
  switch (aEvent.m_kind) {
    case EventKind::Try:
      return OnTry(aEvent.m_subject);
    case EventKind::Submit:
      return OnSubmit(aEvent.m_subject);
    case EventKind::Wake:
      if (aEvent.m_generation == m_wakeGenerations[aEvent.m_subject]) {
        Observe(aEvent.m_subject);
      }
      return;
    case EventKind::FirstToken:
      return OnFirstToken(aEvent.m_subject);
    case EventKind::Done:
      return OnDone(aEvent.m_subject);
    case EventKind::MakeReport:
      return OnMakeReport(aEvent.m_subject);
    case EventKind::SeeReport:
      return OnSeeReport(aEvent.m_subject);
    case EventKind::Deadline:
      return OnDeadline(aEvent.m_subject);
    case EventKind::Hedge:
      return OnHedge(aEvent.m_subject);
    case EventKind::Crash:
      return OnCrash(aEvent.m_subject);
  }
}

template<ReplicaPolicy Policy>
Duration RoutingRun<Policy>::Distance(std::size_t aEntry, std::size_t aEngine) const {
  const bool near = aEntry % m_settings.m_dataCentres == aEngine % m_settings.m_dataCentres;
  return near ? m_settings.m_nearDistance : m_settings.m_farDistance;
}

template<ReplicaPolicy Policy>
Time RoutingRun<Policy>::DeadlineOf(std::size_t aRequest) const {
  return m_result.m_requests[aRequest].m_arrival.m_at + KindOf(aRequest).m_deadline;
}

template<ReplicaPolicy Policy>
VersionEstimate RoutingRun<Policy>::EstimateOf(std::size_t aEntry, std::size_t aRequest) const {
  constexpr double kAnyQuality = 0.9;
  VersionEstimate estimate =
    m_entries[aEntry].m_estimates.Get(KindOf(aRequest).m_name, kRunVersion, kAnyQuality);
  if (estimate.m_outputTokens <= 0.0) {
    estimate.m_outputTokens = KindOf(aRequest).m_outputTokens;
  }
  return estimate;
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnTry(std::size_t aRequest) {
  RequestRecord& record = m_result.m_requests[aRequest];
  Handling& handling = m_handling[aRequest];
  ++record.m_tries;
  ++m_result.m_tries;
  record.m_end = RequestEnd::Open;
  handling = Handling{.m_entry = m_random.Below(m_entries.size())};
  EntryBook& entry = m_entries[handling.m_entry];
  entry.m_retries.OnRequest();
  const std::optional<ReplicaChoice> choice = Choose(aRequest);
  Duration retryAfter{0};
  if (m_settings.m_admits && !Admit(aRequest, *choice, &retryAfter)) {
    return Refuse(aRequest, retryAfter);
  }
  handling.m_admitted = m_settings.m_admits;
  Send(aRequest, *choice, false);
  Push(DeadlineOf(aRequest), EventKind::Deadline, aRequest, record.m_tries);
}

template<ReplicaPolicy Policy>
std::optional<ReplicaChoice> RoutingRun<Policy>::Choose(std::size_t aRequest) {
  const Arrival& arrival = m_result.m_requests[aRequest].m_arrival;
  const std::size_t entry = m_handling[aRequest].m_entry;
  const VersionEstimate estimate = EstimateOf(entry, aRequest);
  const ReplicaQuery query{.m_inputTokens = arrival.m_inputTokens,
                           .m_outputTokens = static_cast<std::int64_t>(estimate.m_outputTokens),
                           .m_entryCount = static_cast<std::int64_t>(m_entries.size()),
                           .m_jumpsQueue = m_settings.m_sendsPriorities &&
                                           KindOf(aRequest).m_urgency == Urgency::Counter};
  const std::span<const ReplicaView> views =
    m_entries[entry].Views(arrival.m_prefix, arrival.m_prefixTokens, m_now);
  return m_policies[entry].Choose(query, views, m_random);
}

template<ReplicaPolicy Policy>
bool RoutingRun<Policy>::Admit(std::size_t aRequest, const ReplicaChoice& aChoice,
                               Duration* aRetryAfter) {
  Handling& handling = m_handling[aRequest];
  EntryBook& entry = m_entries[handling.m_entry];
  const VersionEstimate estimate = EstimateOf(handling.m_entry, aRequest);
  const Duration run =
    estimate.m_firstToken +
    Duration(static_cast<std::int64_t>(static_cast<double>(estimate.m_perToken.count()) *
                                       estimate.m_outputTokens));
  handling.m_work = InSeconds(run);
  const double slots = static_cast<double>(m_engines.size() * m_settings.m_engine.m_slots);
  const AdmissionQuery query{.m_customer = CustomerOf(aRequest).m_name,
                             .m_share = CustomerOf(aRequest).m_share,
                             .m_urgency = KindOf(aRequest).m_urgency,
                             .m_timeLeft = DeadlineOf(aRequest) - m_now,
                             .m_expectedTime = aChoice.m_expectedWait + run,
                             .m_work = handling.m_work,
                             .m_poolFree = entry.PoolFree(m_now),
                             .m_poolSlots = slots / static_cast<double>(m_entries.size())};
  const AdmissionDecision decision = entry.m_admission.Decide(query, m_now);
  *aRetryAfter = decision.m_retryAfter;
  m_result.m_requests[aRequest].m_verdict = decision.m_verdict;
  return decision.m_verdict == AdmissionVerdict::Admitted;
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::Send(std::size_t aRequest, const ReplicaChoice& aChoice, bool aExtra) {
  Handling& handling = m_handling[aRequest];
  const std::size_t id = m_attempts.size();
  const VersionEstimate estimate = EstimateOf(handling.m_entry, aRequest);
  m_attempts.push_back({.m_request = aRequest,
                        .m_entry = handling.m_entry,
                        .m_engine = aChoice.m_index,
                        .m_expectedTokens = static_cast<std::int64_t>(estimate.m_outputTokens),
                        .m_expectedWait = aChoice.m_expectedWait,
                        .m_sentAt = m_now,
                        .m_extra = aExtra});
  handling.m_attempts.push_back(id);
  Attempt& attempt = m_attempts.back();
  const Arrival& arrival = m_result.m_requests[aRequest].m_arrival;
  const EngineRequest request{.m_inputTokens = arrival.m_inputTokens,
                              .m_prefix = arrival.m_prefix,
                              .m_prefixTokens = arrival.m_prefixTokens};
  attempt.m_promptTokens =
    m_entries[attempt.m_entry].OnSent(attempt.m_engine, request, attempt.m_expectedTokens, m_now);
  ++m_result.m_sent;
  m_result.m_extraAttempts += aExtra ? 1 : 0;
  Push(m_now + Distance(attempt.m_entry, attempt.m_engine), EventKind::Submit, id);
  if (m_settings.m_retriesAndHedges && KindOf(aRequest).m_urgency == Urgency::Counter && !aExtra) {
    const Duration delay =
      std::max(kLeastHedgeDelay, kHedgeAfterFirstTokens * estimate.m_firstToken);
    Push(m_now + delay, EventKind::Hedge, aRequest, id);
  }
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnSubmit(std::size_t aAttempt) {
  const Attempt& attempt = m_attempts[aAttempt];
  if (!attempt.m_open) {
    return;
  }
  const Arrival& arrival = m_result.m_requests[attempt.m_request].m_arrival;
  const int priority =
    m_settings.m_sendsPriorities ? static_cast<int>(KindOf(attempt.m_request).m_urgency) : 0;
  Observe(attempt.m_engine);
  m_engines[attempt.m_engine].Submit({.m_attempt = aAttempt,
                                      .m_priority = priority,
                                      .m_inputTokens = arrival.m_inputTokens,
                                      .m_outputTokens = arrival.m_outputTokens,
                                      .m_prefix = arrival.m_prefix,
                                      .m_prefixTokens = arrival.m_prefixTokens},
                                     m_now);
  Observe(attempt.m_engine);
}

/// Lets the engine go on to now, passes on what happened, and wakes it for what comes next.
template<ReplicaPolicy Policy>
void RoutingRun<Policy>::Observe(std::size_t aEngine) {
  for (const EngineOutput& output : m_engines[aEngine].Advance(m_now)) {
    const Attempt& attempt = m_attempts[output.m_attempt];
    const bool first = output.m_kind == EngineOutput::Kind::FirstToken;
    Push(output.m_at + Distance(attempt.m_entry, aEngine),
         first ? EventKind::FirstToken : EventKind::Done, output.m_attempt);
  }
  ++m_wakeGenerations[aEngine];
  const std::optional<Time> next = m_engines[aEngine].NextEvent();
  if (next) {
    Push(*next, EventKind::Wake, aEngine, m_wakeGenerations[aEngine]);
  }
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::CountPromptRead(Attempt& aAttempt) {
  m_entries[aAttempt.m_entry].OnPromptRead(aAttempt.m_engine, aAttempt.m_promptTokens);
  aAttempt.m_promptTokens = 0;
}

/// The entry counts the attempt as over.
template<ReplicaPolicy Policy>
void RoutingRun<Policy>::CloseAttempt(std::size_t aAttempt, bool aFailed) {
  Attempt& attempt = m_attempts[aAttempt];
  attempt.m_open = false;
  CountPromptRead(attempt);
  m_entries[attempt.m_entry].OnEnded(attempt.m_engine, attempt.m_expectedTokens, attempt.m_sentAt,
                                     aFailed, m_now);
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnFirstToken(std::size_t aAttempt) {
  Attempt& attempt = m_attempts[aAttempt];
  if (!attempt.m_open || m_handling[attempt.m_request].m_started) {
    return;
  }
  CountPromptRead(attempt);
  m_handling[attempt.m_request].m_started = true;
  m_result.m_requests[attempt.m_request].m_firstToken = m_now + kCallerDistance;
  // The first answer to start wins; the others are cancelled.
  const std::vector<std::size_t> all = m_handling[attempt.m_request].m_attempts;
  for (const std::size_t other : all) {
    if (other != aAttempt && m_attempts[other].m_open) {
      CloseAttempt(other, false);
      m_engines[m_attempts[other].m_engine].Cancel(other, m_now);
      Observe(m_attempts[other].m_engine);
    }
  }
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::OnDone(std::size_t aAttempt) {
  Attempt& attempt = m_attempts[aAttempt];
  if (!attempt.m_open) {
    return;
  }
  RequestRecord& record = m_result.m_requests[attempt.m_request];
  CloseAttempt(aAttempt, false);
  EntryBook& entry = m_entries[attempt.m_entry];
  const Duration first =
    std::max(Duration(0), record.m_firstToken - attempt.m_sentAt - attempt.m_expectedWait);
  entry.m_estimates.Observe(KindOf(attempt.m_request).m_name, kRunVersion,
                            {.m_firstToken = first,
                             .m_total = m_now - attempt.m_sentAt,
                             .m_inputTokens = record.m_arrival.m_inputTokens,
                             .m_outputTokens = record.m_arrival.m_outputTokens},
                            m_now);
  record.m_answered = m_now + kCallerDistance;
  const bool inTime = record.m_answered <= DeadlineOf(attempt.m_request);
  End(attempt.m_request, inTime ? RequestEnd::InTime : RequestEnd::Late);
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::End(std::size_t aRequest, RequestEnd aEnd) {
  Handling& handling = m_handling[aRequest];
  if (handling.m_admitted) {
    handling.m_admitted = false;
    m_entries[handling.m_entry].m_admission.Finished("", CustomerOf(aRequest).m_name,
                                                     handling.m_work, m_now);
  }
  m_result.m_requests[aRequest].m_end = aEnd;
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::Refuse(std::size_t aRequest, Duration aRetryAfter) {
  ++m_result.m_refusals;
  RequestRecord& record = m_result.m_requests[aRequest];
  record.m_end = RequestEnd::Refused;
  constexpr double kJitter = 0.3;
  const double factor = 1.0 + kJitter * m_random.Uniform();
  const Duration wait(static_cast<std::int64_t>(static_cast<double>(aRetryAfter.count()) * factor));
  // The caller's customer waits at the counter: it comes back while its deadline lasts.
  if (record.m_tries < m_settings.m_callerTries && m_now + wait < DeadlineOf(aRequest)) {
    Push(m_now + wait + 2 * kCallerDistance, EventKind::Try, aRequest);
  }
}

template<ReplicaPolicy Policy>
void RoutingRun<Policy>::CloseAttempts(std::size_t aRequest) {
  const std::vector<std::size_t> all = m_handling[aRequest].m_attempts;
  for (const std::size_t id : all) {
    if (m_attempts[id].m_open) {
      CloseAttempt(id, false);
      m_engines[m_attempts[id].m_engine].Cancel(id, m_now);
      Observe(m_attempts[id].m_engine);
    }
  }
}

} // namespace fennelline

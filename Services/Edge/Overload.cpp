#include "Services/Edge/Overload.h"

#include <algorithm>
#include <vector>

namespace fennelline {

namespace {

/// How often waiting requests are looked at, besides after each end of a run: short against the
/// shortest objective of a stream (one second).
constexpr Duration kReviewInterval = Milliseconds(20);

/// Servers and their slots change slowly; counting them takes a look at each server.
constexpr Duration kSlotsAge = Milliseconds(200);

} // namespace

Overload::ServiceState& Overload::StateOf(const std::string& aService) {
  ServiceState& state = m_services[aService];
  CountSlots(aService, state);
  return state;
}

void Overload::CountSlots(const std::string& aService, ServiceState& aState) {
  const Time now = m_context.m_loop.Now();
  if (now < aState.m_slotsCountedAt + kSlotsAge) {
    return;
  }
  aState.m_slotsCountedAt = now;
  double slots = 0.0;
  for (const std::shared_ptr<BackendLink>& backend : m_context.m_backends.OfService(aService)) {
    const bool isUsable = backend->TakesRequests(now) && !m_context.IsEvacuated(*backend);
    slots += isUsable ? backend->m_record.m_slots : 0;
  }
  aState.m_control.SetSlots(slots /
                            static_cast<double>(std::max<std::size_t>(1, m_context.m_entries)));
  LogState(aService, aState);
}

void Overload::LogState(const std::string& aService, ServiceState& aState) {
  const Time now = m_context.m_loop.Now();
  const SurgeState state = aState.m_control.State(now);
  if (std::exchange(aState.m_loggedState, state) == state) {
    return;
  }
  LogLine line("surge");
  line.Text("service", aService).Text("state", NameOf(kSurgeStateNames, state));
  line.Real("level", aState.m_control.Level(now)).Real("slots", aState.m_control.Slots());
  line.Count("running", aState.m_control.Running());
  line.Count("waiting", static_cast<std::int64_t>(aState.m_control.Queue().Count()));
  m_context.Log(LogPriority::Notable, line);
}

AdmissionDecision Overload::Offer(const std::string& aService, const AdmissionQuery& aQuery,
                                  OnDecision aOnDecision) {
  ServiceState& state = StateOf(aService);
  const AdmissionDecision decision = state.m_control.Offer(aQuery, m_context.m_loop.Now());
  if (decision.m_admission == Admission::Wait) {
    state.m_waiting[decision.m_id] = std::move(aOnDecision);
    ScheduleReview();
  }
  if (decision.m_admission != Admission::Send) {
    m_context.m_metrics.OnAdmission(decision.m_admission);
  }
  return decision;
}

void Overload::Leave(const std::string& aService, std::uint64_t aId) {
  const auto found = m_services.find(aService);
  if (aId != 0 && found != m_services.end()) {
    found->second.m_control.Leave(aId);
    found->second.m_waiting.erase(aId);
  }
}

void Overload::Review(const std::string& aService) {
  ServiceState& state = StateOf(aService);
  if (state.m_control.Queue().Count() == 0) {
    return;
  }
  for (const AdmissionDecision& decision : state.m_control.Review(m_context.m_loop.Now())) {
    const auto waiting = state.m_waiting.extract(decision.m_id);
    // A callback may have ended another one.
    if (!waiting.empty()) {
      if (decision.m_admission != Admission::Send) {
        m_context.m_metrics.OnAdmission(decision.m_admission);
      }
      waiting.mapped()(decision);
    }
  }
}

void Overload::ScheduleReview() {
  if (std::exchange(m_isReviewScheduled, true)) {
    return;
  }
  m_context.m_loop.After(kReviewInterval, [this] {
    m_isReviewScheduled = false;
    bool isWaiting = false;
    for (auto& [service, state] : m_services) {
      Review(service);
      isWaiting = isWaiting || state.m_control.Queue().Count() > 0;
    }
    if (isWaiting) {
      ScheduleReview();
    }
  });
}

bool Overload::HasCapacityToEscalate(const std::string& aService, const EscalationQuery& aQuery) {
  const bool hasCapacity =
    StateOf(aService).m_control.HasCapacityToEscalate(aQuery, m_context.m_loop.Now());
  if (!hasCapacity) {
    m_context.m_metrics.OnEscalationWithheld();
  }
  return hasCapacity;
}

Duration Overload::RetryAfter(const std::string& aService, int aUrgency, Admission aCause) {
  return StateOf(aService).m_control.RetryAfter(aUrgency, aCause == Admission::RefuseOverShare,
                                                m_context.m_random.Uniform(),
                                                m_context.m_loop.Now());
}

SurgeState Overload::State(const std::string& aService) {
  return StateOf(aService).m_control.State(m_context.m_loop.Now());
}

Overload::Run Overload::OnSent(const std::string& aService, const CongestionSignal::Run& aRun) {
  return {.m_service = aService,
          .m_id = StateOf(aService).m_control.OnSent(aRun),
          .m_urgency = aRun.m_urgency,
          .m_sentAt = aRun.m_sentAt};
}

void Overload::OnFirstEvent(const Run& aRun) {
  if (aRun.m_id != CongestionSignal::kNoRun) {
    StateOf(aRun.m_service).m_control.OnFirstEvent(aRun.m_id, m_context.m_loop.Now());
  }
}

void Overload::OnRejected(const Run& aRun) {
  if (aRun.m_id != CongestionSignal::kNoRun) {
    StateOf(aRun.m_service).m_control.OnRejected(aRun.m_id, m_context.m_loop.Now());
  }
}

void Overload::OnEnded(const Run& aRun) {
  if (aRun.m_id == CongestionSignal::kNoRun) {
    return;
  }
  const Time now = m_context.m_loop.Now();
  ServiceState& state = StateOf(aRun.m_service);
  state.m_control.OnEnded(aRun.m_id, aRun.m_urgency, now - aRun.m_sentAt, now);
  if (state.m_control.Queue().Count() > 0) {
    // The caller may be in the middle of ending its request.
    m_context.m_loop.Post([this, service = aRun.m_service] { Review(service); });
  }
}

void Overload::UpdateMetrics() {
  SurgeState worst = SurgeState::Calm;
  std::array<std::size_t, kUrgencyLevels> waiting{};
  for (auto& [service, state] : m_services) {
    worst = std::max(worst, state.m_control.State(m_context.m_loop.Now()));
    for (int urgency = 0; urgency < kUrgencyLevels; ++urgency) {
      waiting[static_cast<std::size_t>(urgency)] += state.m_control.Queue().CountOf(urgency);
    }
  }
  m_context.m_metrics.SetSurge(worst, waiting);
}

} // namespace fennelline

// Connects a request to overload control: it may wait at this entry, or be refused, during a surge.

#include "Services/Edge/Overload.h"
#include "Services/Edge/RequestRelay.h"

#include <algorithm>

namespace fennelline {

namespace {

/// After a rejection by a full server in a surge, the request is sent again after about this time,
/// doubled for each further rejection: most answers take longer, and another entry's request would
/// take the first free slot anyway.
constexpr Duration kRejectionDelay = Milliseconds(20);
constexpr int kMaxDoublings = 3;

} // namespace

bool RequestRelay::TakesPartInOverload() const {
  const Service* service = m_routes->FindService(m_service);
  return service != nullptr && service->m_isEngine && m_route->m_kind == RouteKind::Streaming;
}

bool RequestRelay::WaitForCapacity() {
  const bool mayWait =
    !m_isAdmitted && TakesPartInOverload() && m_retryPolicy.Promise().MayRepeat() && !m_answerBegun;
  if (!mayWait) {
    return false;
  }
  m_isAdmitted = true;
  if (m_rejections > 0 && m_context.m_overload->State(m_service) >= SurgeState::Surge) {
    const double spread = 0.5 + m_context.m_random.Uniform();
    const Duration delay = kRejectionDelay * (1 << std::min(m_rejections - 1, kMaxDoublings));
    m_context.m_loop.After(std::chrono::duration_cast<Duration>(delay * spread),
                           [self = shared_from_this()] {
                             if (!self->m_ended && !self->OfferToOverload()) {
                               self->Dispatch();
                             }
                           });
    return true;
  }
  return OfferToOverload();
}

bool RequestRelay::OfferToOverload() {
  const std::string account = m_account == nullptr ? std::string() : m_account->m_name;
  const AdmissionDecision decision = m_context.m_overload->Offer(
    m_service,
    {.m_urgency = Urgency(),
     .m_account = account,
     .m_work = WorkOf(m_metadata.m_promptTokens, m_metadata.m_mostOutputTokens),
     .m_model = ChooseModel(),
     .m_promptTokens = m_metadata.m_promptTokens,
     .m_bytes = m_request.m_body.size(),
     .m_arrived = m_request.m_arrived,
     .m_objective = m_route->m_objective,
     .m_answerBy = m_retryPolicy.Promise().m_answerBy,
     .m_isRejected = m_rejections > 0},
    [self = shared_from_this()](const AdmissionDecision& aDecision) {
      self->m_overloadTicket = 0;
      if (!self->m_ended && !self->RefuseForOverload(aDecision)) {
        self->Dispatch();
      }
    });
  if (decision.m_admission == Admission::Send) {
    return false;
  }
  if (decision.m_admission != Admission::Wait) {
    return RefuseForOverload(decision);
  }
  m_overloadTicket = decision.m_id;
  LogLine line("held");
  line.Text("id", m_metadata.m_requestId).Text("service", m_service).Text("account", account);
  line.Count("urgency", Urgency()).Real("use", decision.m_useRatio);
  line.Ms("expected-wait", decision.m_expectedWait);
  m_context.Log(LogPriority::Routine, line);
  return true;
}

bool RequestRelay::RefuseForOverload(const AdmissionDecision& aDecision) {
  if (aDecision.m_admission == Admission::Send) {
    return false;
  }
  // After a run it cannot be said that the request has not run.
  const NextAction action = m_retryPolicy.OnGivenUp(m_answerBegun);
  if (action != NextAction::Refuse) {
    ExecuteAction(action);
    return true;
  }
  LogLine line("shed");
  line.Text("id", m_metadata.m_requestId).Text("service", m_service);
  line.Text("account", m_account == nullptr ? "" : m_account->m_name);
  line.Text("reason", NameOf(kAdmissionNames, aDecision.m_admission));
  line.Count("urgency", Urgency()).Real("use", aDecision.m_useRatio);
  line.Ms("expected-wait", aDecision.m_expectedWait);
  m_context.Log(LogPriority::Notable, line);
  Refuse("the backend servers are overloaded",
         m_context.m_overload->RetryAfter(m_service, Urgency(), aDecision.m_admission));
  return true;
}

bool RequestRelay::HasCapacityToEscalate() {
  const bool hasObjective = m_route->m_objective > Duration(0);
  return m_context.m_overload->HasCapacityToEscalate(
    m_service,
    {.m_confidence = m_attempt->m_metadata.m_confidence.value_or(0),
     .m_urgency = Urgency(),
     .m_model = m_route->m_models.back(),
     .m_promptTokens = m_prefillTokens,
     .m_objectiveAt = hasObjective ? m_request.m_arrived + m_route->m_objective : kNever});
}

void RequestRelay::OnRunSent() {
  if (TakesPartInOverload() && !m_attempt->m_backend->m_isEntry) {
    m_attempt->m_run =
      m_context.m_overload->OnSent(m_service, {.m_server = m_attempt->m_backend->m_identity,
                                               .m_urgency = Urgency(),
                                               .m_model = m_attempt->m_model,
                                               .m_prefillTokens = m_prefillTokens,
                                               .m_sentAt = m_attempt->m_sentAt});
  }
}

void RequestRelay::OnRunRejected(int aStatus, const ResponseMetadata& aMetadata) {
  constexpr int kUnavailable = 503;
  const bool isForCapacity = aStatus == kUnavailable && !aMetadata.m_requestLimit &&
                             !aMetadata.m_isLeaving && !aMetadata.m_wait;
  if (isForCapacity && m_attempt->m_run.m_id != CongestionSignal::kNoRun) {
    m_context.m_overload->OnRejected(m_attempt->m_run);
    ++m_rejections;
    m_isAdmitted = false;
  }
}

} // namespace fennelline

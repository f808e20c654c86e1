// Learns what servers say of their limits, and keeps brittle ones from having to turn requests
// away.

#include "LibRouting/SlotShare.h"
#include "Services/Edge/LeavingNotices.h"
#include "Services/Edge/RequestRelay.h"
#include "Services/Edge/RoomQueue.h"
#include "Services/Edge/ServerPermits.h"

#include <algorithm>

namespace fennelline {

namespace {

/// A request waits for room for at most this fraction of its latency objective, so that it can
/// still be served within the objective.
constexpr double kRoomWaitFraction = 0.5;

/// Without an objective.
constexpr Duration kDefaultRoomWait = Milliseconds(200);

/// A request asks for a permit that is merely advised at so many servers, and at so many cold ones:
/// each takes a round trip.
constexpr std::size_t kMaxAdvisedAsks = 2;
constexpr std::size_t kMaxColdAsks = 8;

/// After a rejection, an entry leaves a brittle server alone until the server bears another one of
/// it, but not longer than this. One that bears less than a rejection a second is taken to bear
/// one.
constexpr Duration kMaxRejectionWait = Seconds(60);
constexpr double kMinRejections = 1.0;

} // namespace

void RequestRelay::LearnRequestLimit(const ResponseMetadata& aMetadata) {
  BackendLink& backend = *m_attempt->m_backend;
  const std::string& unreadable = aMetadata.m_unreadableRequestLimit;
  if (!unreadable.empty() && !std::exchange(backend.m_loggedUnreadableLimit, true)) {
    LogLine line("server-limit-unreadable");
    line.Text("id", m_metadata.m_requestId).Text("backend", backend.m_record.m_id);
    line.Text("value", unreadable);
    m_context.Log(LogPriority::Notable, line);
  }
  if (!aMetadata.m_requestLimit && !unreadable.empty()) {
    return;
  }
  const bool isChange =
    backend.m_limit.OnAnswer(aMetadata.m_requestLimit, m_attempt->m_sentAt, m_context.m_loop.Now());
  if (isChange) {
    LogLine line("server-limit");
    line.Text("id", m_metadata.m_requestId).Text("backend", backend.m_record.m_id);
    line.Flag("limited", aMetadata.m_requestLimit.has_value());
    line.Real("per-second", aMetadata.m_requestLimit.value_or(0.0));
    m_context.Log(LogPriority::Notable, line);
    m_context.m_permits->OnLimitChanged(backend);
  }
}

void RequestRelay::LearnColdness(const ResponseMetadata& aMetadata) {
  BackendLink& backend = *m_attempt->m_backend;
  const std::string& unreadable = aMetadata.m_unreadableColdLeft;
  if (!unreadable.empty() && !std::exchange(backend.m_loggedUnreadableCold, true)) {
    LogLine line("server-cold-unreadable");
    line.Text("id", m_metadata.m_requestId).Text("backend", backend.m_record.m_id);
    line.Text("value", unreadable);
    m_context.Log(LogPriority::Notable, line);
  }
  if (aMetadata.m_coldLeft) {
    m_context.m_permits->OnColdAnswer(backend, *aMetadata.m_coldLeft, m_attempt->m_sentAt);
  }
}

PermitNeed RequestRelay::NeedFor(const BackendLink& aBackend) const {
  const PermitNeed need = m_context.m_permits->NeedFor(aBackend);
  const bool isIgnored = m_ignoresCrowding || m_withoutPermit.size() >= kMaxAdvisedAsks;
  return need == PermitNeed::Advised && isIgnored ? PermitNeed::None : need;
}

bool RequestRelay::HasNoPermit(const BackendLink& aBackend, Time aNow) const {
  if (NeedFor(aBackend) == PermitNeed::None) {
    return false;
  }
  const bool hasAskedEnough =
    !aBackend.m_limit.PerSecond() && m_withoutPermit.size() >= kMaxColdAsks;
  return hasAskedEnough || aNow < aBackend.m_nextPermit[static_cast<std::size_t>(Urgency())] ||
         std::find(m_withoutPermit.begin(), m_withoutPermit.end(), aBackend.m_record.m_id) !=
           m_withoutPermit.end();
}

bool RequestRelay::IgnoreCrowding() {
  const std::vector<std::shared_ptr<BackendLink>>& servers =
    m_context.m_backends.OfService(m_service);
  const bool hasCrowded = std::any_of(servers.begin(), servers.end(),
                                      [this](const std::shared_ptr<BackendLink>& aServer) {
                                        return NeedFor(*aServer) == PermitNeed::Advised;
                                      });
  return hasCrowded && !std::exchange(m_ignoresCrowding, true);
}

void RequestRelay::LearnWishes(const ResponseMetadata& aMetadata) {
  BackendLink& backend = *m_attempt->m_backend;
  if (aMetadata.m_isLeaving) {
    m_context.m_leaving->OnAnswer(backend, m_metadata.m_requestId);
  }
  if (!aMetadata.m_unreadableWait.empty()) {
    LogLine line("server-wait-unreadable");
    line.Text("id", m_metadata.m_requestId).Text("backend", backend.m_record.m_id);
    line.Text("value", aMetadata.m_unreadableWait);
    m_context.Log(LogPriority::Notable, line);
  }
  if (aMetadata.m_wait && *aMetadata.m_wait > Duration(0)) {
    const Time now = m_context.m_loop.Now();
    const Time until = EndOfWait(*aMetadata.m_wait, now, m_context.m_random);
    m_context.m_backends.LeaveAlone(backend.m_identity, until);
    LogLine line("server-wait");
    line.Text("id", m_metadata.m_requestId).Text("backend", backend.m_record.m_id);
    line.Ms("asked", *aMetadata.m_wait).Ms("wait", until - now);
    m_context.Log(LogPriority::Notable, line);
  }
}

std::optional<Duration> RequestRelay::UntilServersReturn() const {
  const Time now = m_context.m_loop.Now();
  std::optional<Time> earliest;
  for (const std::shared_ptr<BackendLink>& backend : m_context.m_backends.OfService(m_service)) {
    if (!backend->IsLeaving(now) && !m_context.IsEvacuated(*backend)) {
      earliest = std::min(earliest.value_or(kNever), backend->m_leftAloneUntil);
    }
  }
  return earliest && *earliest > now ? std::optional<Duration>(*earliest - now) : std::nullopt;
}

std::optional<int> RequestRelay::MaxRunning(const BackendLink& aBackend) const {
  if (!aBackend.m_maxRejections.PerSecond()) {
    return std::nullopt;
  }
  return ShareOfSlots(aBackend.m_record.m_slots, aBackend.m_identity, m_context.m_ownHash,
                      m_context.m_entryHashes);
}

bool RequestRelay::HasNoRoom(const BackendLink& aBackend) const {
  const std::optional<int> most = MaxRunning(aBackend);
  return most &&
         (aBackend.m_runningRequests >= *most || m_context.m_loop.Now() < aBackend.m_fullUntil);
}

bool RequestRelay::IsWithoutShare() const {
  std::vector<std::shared_ptr<BackendLink>> servers = m_context.m_backends.OfService(m_service);
  std::erase_if(servers, [this](const std::shared_ptr<BackendLink>& aServer) {
    return m_context.IsEvacuated(*aServer);
  });
  return !servers.empty() && std::all_of(servers.begin(), servers.end(),
                                         [this](const std::shared_ptr<BackendLink>& aServer) {
                                           return MaxRunning(*aServer) == 0;
                                         });
}

bool RequestRelay::WaitForRoom() {
  const Time now = m_context.m_loop.Now();
  std::size_t places = 0;
  for (const std::shared_ptr<BackendLink>& backend : m_context.m_backends.OfService(m_service)) {
    const std::optional<int> most = MaxRunning(*backend);
    const bool mayTake = backend->TakesRequests(now) && !m_context.IsEvacuated(*backend);
    if (most && !WasTried(*backend) && mayTake) {
      places += static_cast<std::size_t>(*most);
    }
  }
  // A longer queue would take longer than the requests that run now.
  if (m_context.m_room->CountWaiting(m_service) >= places) {
    return false;
  }
  const Duration objectivePart =
    m_route->m_objective > Duration(0)
      ? std::chrono::duration_cast<Duration>(m_route->m_objective * kRoomWaitFraction)
      : kDefaultRoomWait;
  const Duration wait = std::min(objectivePart, m_retryPolicy.Promise().m_answerBy - now);
  if (wait <= Duration(0)) {
    return false;
  }
  m_roomTicket =
    m_context.m_room->Wait(m_service, Urgency(), wait, [self = shared_from_this()](bool aHasRoom) {
      self->m_roomTicket = RoomQueue::kNoTicket;
      if (self->m_ended) {
        return;
      }
      if (aHasRoom) {
        self->Dispatch();
      } else {
        self->ExecuteAction(self->m_retryPolicy.OnGivenUp(self->m_answerBegun));
      }
    });
  return true;
}

void RequestRelay::LearnMaxRejections(const ResponseMetadata& aMetadata) {
  BackendLink& backend = *m_attempt->m_backend;
  const Time now = m_context.m_loop.Now();
  const bool isChange =
    backend.m_maxRejections.OnAnswer(aMetadata.m_maxRejections, m_attempt->m_sentAt, now);
  if (isChange) {
    LogLine line("server-brittle");
    line.Text("id", m_metadata.m_requestId).Text("backend", backend.m_record.m_id);
    line.Flag("brittle", aMetadata.m_maxRejections.has_value());
    line.Real("rejections", aMetadata.m_maxRejections.value_or(0.0));
    line.Count("slots", backend.m_record.m_slots).Count("own", MaxRunning(backend).value_or(0));
    m_context.Log(LogPriority::Notable, line);
  }
  if (aMetadata.m_notRun && aMetadata.m_maxRejections) {
    const double perEntry = std::max(kMinRejections, *aMetadata.m_maxRejections) /
                            static_cast<double>(m_context.m_entries);
    const std::chrono::duration<double> untilNext(1.0 / perEntry);
    backend.m_fullUntil =
      now + std::min(kMaxRejectionWait, std::chrono::duration_cast<Duration>(untilNext));
  }
}

} // namespace fennelline

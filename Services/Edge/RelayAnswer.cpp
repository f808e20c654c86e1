// Forwards a backend server's response to the caller.

#include "Services/Edge/CrashWatch.h"
#include "Services/Edge/RequestRelay.h"
#include "Services/Edge/RoomQueue.h"
#include "Services/Edge/ServerPaths.h"
#include "Services/Edge/ServerPermits.h"
#include "platform/RequestCodec.h"

namespace fennelline {

namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;
constexpr int kMisdirected = 421;
constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Plain responses up to this size are buffered until they are complete, so that a request whose
/// response breaks off can be retried.
constexpr std::size_t kMaxBufferedAnswerBytes = 256UL * 1024;

/// A rejection whose body is longer is not read to its end.
constexpr std::size_t kMaxRejectionBytes = 16UL * 1024;

/// Backpressure: with more unsent bytes to a slow caller, reading from the server is paused.
constexpr std::size_t kMaxUnsentBytes = 64UL * 1024;

/// A request is escalated to a larger model only if this many attempts remain in case the response
/// breaks off.
constexpr int kAttemptsReservedForFailures = 1;

/// A stream that has sent no event for this fraction of the route's pause objective is checked for
/// a stall (see OnStall).
constexpr double kPauseFraction = 0.9;

/// How often another server is looked for while only its own can answer a stalled request. A new
/// server is used soon, and the look costs little.
constexpr Duration kStallCheckInterval = Milliseconds(250);

/// A second answer to an earlier request is followed by this request's own. If none is there after
/// this time, the first one was the answer, and lacked its id.
constexpr Duration kAnswerAfterStrayTime = Milliseconds(50);

bool IsNotRunStatus(int aStatus) {
  return aStatus == kRequestTimeout || aStatus == kMisdirected || aStatus == kTooManyRequests ||
         aStatus == kUnavailable;
}

} // namespace

HeadAction RequestRelay::OnHead(const MessageHead& aHead) {
  const ResponseMetadata metadata = platform::DecodeAnswer(aHead);
  // An answer without an id may be a second one to an earlier call on this connection. Another
  // entry rejects what it cannot parse without one.
  const bool isEntry = m_attempt->m_backend->m_isEntry;
  const bool mayBeEarlier =
    m_attempt->m_channel->HasEarlierCalls() && (metadata.m_notRun || !isEntry);
  const bool isOther =
    metadata.m_requestId.empty() ? mayBeEarlier : metadata.m_requestId != m_metadata.m_requestId;
  if (isOther) {
    LogLine line("stray-answer");
    line.Text("id", m_metadata.m_requestId).Text("stray-id", metadata.m_requestId);
    line.Text("backend", m_attempt->m_backend->m_record.m_id);
    m_context.Log(LogPriority::Notable, line);
    if (metadata.m_requestId.empty() && !isEntry) {
      AwaitAnswerAfterStray();
    }
    return HeadAction::Skip;
  }
  if (m_attempt->m_backend->m_isEntry) {
    return OnEntryHead(aHead, metadata);
  }
  m_context.m_paths->OnReached(*m_attempt->m_backend);
  if (metadata.m_notRun && !metadata.m_requestId.empty()) {
    if (aHead.m_status == kMisdirected) {
      m_attempt->m_backend->m_health.OnUnreachable(m_context.m_loop.Now());
    } else {
      m_attempt->m_backend->m_health.OnRejected(m_context.m_loop.Now());
      LearnRequestLimit(metadata);
      LearnMaxRejections(metadata);
      LearnWishes(metadata);
      LearnColdness(metadata);
      OnRunRejected(aHead.m_status, metadata);
    }
    // The connection can be reused once the rest of the response has been read.
    m_attempt->m_notRun = true;
    return HeadAction::Accept;
  }
  const bool isSuccess = aHead.m_status >= kOk && aHead.m_status < kFirstRedirect;
  const bool isStream = isSuccess && metadata.m_isEventStream && !IsHeadRequest();
  const bool isGenuine =
    metadata.m_hasSeal && !metadata.m_requestId.empty() && !metadata.m_isEncoded;
  if (!isGenuine || IsNotRunStatus(aHead.m_status) || (isSuccess && IsStreamDue() && !isStream)) {
    EndAttempt(AttemptOutcome::Corrupt);
    return HeadAction::Accept;
  }
  LearnRequestLimit(metadata);
  LearnMaxRejections(metadata);
  LearnWishes(metadata);
  LearnColdness(metadata);
  m_attempt->m_headAt = m_context.m_loop.Now();
  m_attempt->m_head = aHead;
  m_attempt->m_metadata = metadata;
  m_attempt->m_hasHead = true;
  m_attempt->m_isStream = isStream;
  m_context.m_overload->OnFirstEvent(m_attempt->m_run);
  if (m_answerBegun && !m_attempt->m_isStream) {
    // Part of another response was already sent to the caller, and this one cannot continue it.
    EndAttempt(AttemptOutcome::Failed);
  } else if (const std::optional<std::size_t> larger = LargerModelToAsk();
             larger && HasCapacityToEscalate() && MayRun() && HasUnlimitedServer() &&
             TryReplaceRun(kAttemptsReservedForFailures)) {
    Escalate(*larger);
  }
  return HeadAction::Accept;
}

void RequestRelay::AwaitAnswerAfterStray() {
  m_context.m_loop.Cancel(m_stallTimer);
  m_stallTimer = m_context.m_loop.After(kAnswerAfterStrayTime, [self = shared_from_this()] {
    self->m_stallTimer = EventLoop::kNoTimer;
    const bool isWaiting = !self->m_ended && self->m_attempt && !self->m_attempt->m_hasHead &&
                           !self->m_attempt->m_notRun;
    if (isWaiting) {
      self->EndAttempt(AttemptOutcome::Corrupt);
    }
  });
}

bool RequestRelay::IsStreamDue() const {
  return m_route->m_kind == RouteKind::Streaming && !IsHeadRequest();
}

bool RequestRelay::TryReplaceRun(int aReservedAttempts) {
  return m_retryPolicy.TryReplaceRun(aReservedAttempts, m_context.m_retries[m_service],
                                     m_context.RetryPlan(), m_context.m_loop.Now());
}

double RequestRelay::MeanPrefillMs() const {
  const Time now = m_context.m_loop.Now();
  double sum = 0.0;
  const std::vector<std::shared_ptr<BackendLink>> eligible = Eligible();
  for (const std::shared_ptr<BackendLink>& backend : eligible) {
    sum += InFractionalMilliseconds(backend->m_prefillLoad.Left(now));
  }
  return eligible.empty() ? 0.0 : sum / static_cast<double>(eligible.size());
}

void RequestRelay::Escalate(std::size_t aModel) {
  LogLine line("escalate");
  line.Text("id", m_metadata.m_requestId).Text("backend", m_attempt->m_backend->m_record.m_id);
  line.Count("confidence", m_attempt->m_metadata.m_confidence.value_or(0));
  line.Text("from", m_attempt->m_model).Text("to", m_route->m_models[aModel]);
  m_context.Log(LogPriority::Routine, line);
  const Time now = m_context.m_loop.Now();
  m_attempt->m_backend->m_health.OnSuccess(now);
  LearnFirstEvent();
  m_modelIndex = aModel;
  m_context.m_crashWatch->OnCancelled(*m_attempt->m_backend, CurrentRun());
  ReleaseAttempt();
  Dispatch();
}

void RequestRelay::OnBody(std::string_view aPart) {
  if (m_ended || !m_attempt) {
    return;
  }
  if (m_attempt->m_entryOutcome) {
    return;
  }
  if (!m_attempt->m_backend->m_isEntry) {
    m_context.m_paths->OnReached(*m_attempt->m_backend);
  }
  if (m_attempt->m_isStream) {
    OnStreamPart(aPart);
    return;
  }
  m_attempt->m_backend->m_lastReceivedAt = m_context.m_loop.Now();
  m_attempt->m_bodyBytes += aPart.size();
  if (m_attempt->m_notRun) {
    if (m_attempt->m_bodyBytes > kMaxRejectionBytes) {
      EndAttempt(AttemptOutcome::NotRun);
    }
    return;
  }
  m_attempt->m_body += aPart;
  if (m_attempt->m_body.size() <= kMaxBufferedAnswerBytes) {
    return;
  }
  if (!m_answerBegun) {
    m_answerBegun = true;
    m_firstByte = m_context.m_loop.Now();
    m_caller->BeginResponse({.m_status = m_attempt->m_head.m_status,
                             .m_headers = platform::EncodeAnswer(m_attempt->m_head.m_headers)});
  }
  m_caller->SendBodyPart(std::exchange(m_attempt->m_body, {}));
  PauseForSlowCaller();
}

void RequestRelay::PauseForSlowCaller() {
  if (m_caller->UnsentBytes() <= kMaxUnsentBytes) {
    return;
  }
  m_attempt->m_channel->SetReading(false);
  m_attempt->m_wasPaused = true;
  m_caller->SetOnDrained([self = shared_from_this()] {
    if (self->m_attempt) {
      self->m_attempt->m_channel->SetReading(true);
    }
  });
}

void RequestRelay::OnStreamPart(std::string_view aPart) {
  const std::string events = m_framer.Feed(aPart);
  if (m_framer.Fault()) {
    LogOddEvent(*m_framer.Fault());
  }
  if (events.empty()) {
    if (m_framer.Fault()) {
      EndAttempt(AttemptOutcome::Corrupt);
    }
    return;
  }
  const Time now = m_context.m_loop.Now();
  m_attempt->m_backend->m_lastReceivedAt = now;
  if (m_attempt->m_events == 0) {
    m_attempt->m_firstEventAt = now;
    if (!m_attempt->m_backend->m_isEntry) {
      LearnFirstEvent();
    }
  }
  if (!m_answerBegun) {
    m_answerBegun = true;
    m_firstByte = now;
    m_context.m_metrics.OnFirstByte(m_route->m_kind, now - m_request.m_arrived);
    m_caller->BeginResponse({.m_status = m_attempt->m_head.m_status,
                             .m_headers = platform::EncodeAnswer(m_attempt->m_head.m_headers)});
  }
  if (m_lastEvents != Time{}) {
    m_longestPause = std::max(m_longestPause, now - m_lastEvents);
  }
  m_lastEvents = now;
  m_attempt->m_events += 1;
  m_attempt->m_pace.OnEvent(now);
  ReportProvenRun();
  ReportPace();
  LearnPace(false);
  m_caller->SendBodyPart(events);
  if (m_ended || !m_attempt) {
    return;
  }
  if (m_framer.Fault()) {
    EndAttempt(AttemptOutcome::Corrupt);
    return;
  }
  if (MoveSlowStream(Duration(0))) {
    return;
  }
  m_context.m_loop.Cancel(std::exchange(m_stallTimer, EventLoop::kNoTimer));
  // Another entry watches the pauses of its servers itself.
  if (!m_attempt->m_backend->m_isEntry && m_retryPolicy.HasRunLeft() &&
      m_route->m_pauseObjective > Duration(0)) {
    StartStallTimer(
      std::chrono::duration_cast<Duration>(m_route->m_pauseObjective * kPauseFraction));
  }
  PauseForSlowCaller();
}

void RequestRelay::LogOddEvent(EventFault aFault) {
  m_context.m_metrics.OnOddEvent(aFault);
  LogLine line("odd-event");
  line.Text("id", m_metadata.m_requestId).Text("backend", m_attempt->m_backend->m_record.m_id);
  line.Text("fault", NameOf(kEventFaultNames, aFault));
  line.Count("send", m_retryPolicy.Sends() + 1).Count("parts", m_attempt->m_events);
  line.Count("last-event", m_framer.LastEvent().value_or(0));
  line.Flag("ends-with-connection", m_attempt->m_head.m_bodyEndsAtClose);
  line.Flag("kept-connection", m_attempt->m_channel->HasEarlierCalls());
  m_context.Log(LogPriority::Notable, line);
}

void RequestRelay::CompleteAnswer() {
  if (!m_attempt->m_isStream && m_attempt->m_head.m_status >= kFirstServerError && !m_answerBegun) {
    m_failure =
      FailureAnswer{.m_head = std::move(m_attempt->m_head), .m_body = std::move(m_attempt->m_body)};
    if (m_attempt->m_backend->m_isEntry) {
      // It has used all runs that the request had left.
      ForwardFailure();
      return;
    }
    EndAttempt(AttemptOutcome::Failed);
    return;
  }
  const Time now = m_context.m_loop.Now();
  const int status = m_attempt->m_head.m_status;
  m_attempt->m_backend->m_health.OnSuccess(now);
  m_context.m_crashWatch->OnFinished(Causes());
  LearnLength();
  ReportEvidence(VersionOutcome::Answered);
  if (m_answerBegun) {
    m_caller->SendBodyPart(m_attempt->m_body);
    m_caller->EndResponse();
  } else if (m_attempt->m_isStream) {
    m_caller->BeginResponse(
      {.m_status = status, .m_headers = platform::EncodeAnswer(m_attempt->m_head.m_headers)});
    m_caller->EndResponse();
  } else {
    m_firstByte = now;
    m_context.m_metrics.OnFirstByte(m_route->m_kind, now - m_request.m_arrived);
    m_caller->SendResponse(
      {.m_status = status, .m_headers = platform::EncodeAnswer(m_attempt->m_head.m_headers)},
      m_attempt->m_body);
  }
  End(RequestEnd::Answered, status);
}

void RequestRelay::OnFailed(CallFailure aFailure) {
  if (m_ended || !m_attempt) {
    return;
  }
  if (m_attempt->m_backend->m_isEntry) {
    OnEntryFailed(aFailure);
    return;
  }
  if (m_attempt->m_notRun) {
    EndAttempt(AttemptOutcome::NotRun);
    return;
  }
  const Time now = m_context.m_loop.Now();
  m_attempt->m_failure = aFailure;
  switch (aFailure) {
    case CallFailure::Refused:
    case CallFailure::NotSent:
      m_attempt->m_backend->m_health.OnUnreachable(now);
      m_context.m_paths->OnUnreachable(*m_attempt->m_backend);
      ++m_unreachableServers;
      EndAttempt(AttemptOutcome::NotSent);
      return;
    case CallFailure::NoResponse:
    case CallFailure::TruncatedResponse:
      EndAttempt(AttemptOutcome::Lost);
      return;
    case CallFailure::Malformed:
      EndAttempt(AttemptOutcome::Corrupt);
      return;
  }
}

void RequestRelay::ReleaseAttempt() {
  if (!m_attempt) {
    return;
  }
  LearnPace(true);
  const Attempt attempt = std::move(*m_attempt);
  m_attempt.reset();
  --attempt.m_backend->m_runningRequests;
  m_context.m_overload->OnEnded(attempt.m_run);
  attempt.m_backend->m_runningSuspects -= attempt.m_isSuspect ? 1 : 0;
  attempt.m_backend->m_pool.Release(attempt.m_channel);
  if (attempt.m_backend->m_maxRejections.PerSecond()) {
    m_context.m_room->OnRoom(attempt.m_backend->m_record.m_service);
  }
}

void RequestRelay::EndAttempt(AttemptOutcome aOutcome) {
  if (m_attempt->m_backend->m_isEntry) {
    EndPassedOn(EntryOutcome::Failed);
    return;
  }
  const Time now = m_context.m_loop.Now();
  m_context.m_loop.Cancel(std::exchange(m_stallTimer, EventLoop::kNoTimer));
  const std::shared_ptr<BackendLink> backend = m_attempt->m_backend;
  const bool isFailure = aOutcome == AttemptOutcome::Lost || aOutcome == AttemptOutcome::Corrupt ||
                         aOutcome == AttemptOutcome::Failed;
  if (isFailure) {
    backend->m_health.OnFailure(now);
    ReportEvidence(VersionOutcome::Failed);
  }
  m_excludedFromTrial = m_excludedFromTrial || aOutcome == AttemptOutcome::Failed;
  m_triedBackends.push_back(backend->m_record.m_id);
  // Stop the work on the previous server before the request runs on another one.
  const Time sentAt = m_attempt->m_sentAt;
  ServerRun run = aOutcome == AttemptOutcome::Lost ? CurrentRun() : ServerRun{};
  const std::optional<CallFailure> failure = m_attempt->m_failure;
  const bool isBroken = m_attempt->IsBroken();
  m_wasBroken = m_wasBroken || isBroken;
  ReleaseAttempt();
  m_context.m_metrics.OnAttemptEnded(aOutcome);
  const NextAction action =
    m_framer.IsPlaceUnknown()
      ? m_retryPolicy.OnGivenUp(m_answerBegun)
      : m_retryPolicy.OnOutcome(aOutcome, m_answerBegun, m_context.m_retries[m_service],
                                m_context.RetryPlan(), now);
  LogLine line("attempt-end");
  line.Text("id", m_metadata.m_requestId).Text("backend", backend->m_record.m_id);
  line.Text("outcome", NameOf(kAttemptOutcomeNames, aOutcome));
  if (failure) {
    line.Text("failure", NameOf(kCallFailureNames, *failure));
  }
  if (aOutcome == AttemptOutcome::Lost) {
    line.Text("content", Causes().m_content);
  }
  line.Text("next", NameOf(kNextActionNames, action)).Ms("took", now - sentAt);
  line.Count("events", m_framer.CountEvents()).Flag("answer-begun", m_answerBegun);
  line.Ms("time-left", m_retryPolicy.Promise().m_answerBy - now);
  m_context.Log(LogPriority::Notable, line);
  if (failure == CallFailure::Refused) {
    m_context.m_crashWatch->OnRefused(backend, [] {});
  }
  if (aOutcome == AttemptOutcome::Lost) {
    ReportUnanswered(backend, std::move(run), isBroken, action);
  } else {
    ExecuteAction(action);
  }
}

void RequestRelay::ReportUnanswered(const std::shared_ptr<BackendLink>& aBackend, ServerRun aRun,
                                    bool aIsBroken, NextAction aAction) {
  if (!aIsBroken) {
    m_context.m_crashWatch->OnSilent(*aBackend, std::move(aRun));
    ExecuteAction(aAction);
    return;
  }
  // Another server, or the caller who may send it again, gets the request back only after it is
  // known whether this server crashed under it.
  m_context.m_crashWatch->OnBroken(aBackend, std::move(aRun), [self = shared_from_this(), aAction] {
    if (!self->m_ended && !self->m_attempt) {
      self->ExecuteAction(aAction);
    }
  });
}

void RequestRelay::ForwardFailure() {
  const int status = m_failure->m_head.m_status;
  m_caller->SendResponse(
    {.m_status = status, .m_headers = platform::EncodeAnswer(m_failure->m_head.m_headers)},
    m_failure->m_body);
  End(RequestEnd::ServerFailure, status);
}

void RequestRelay::OnCallerGone() {
  if (m_ended) {
    return;
  }
  if (m_attempt && !m_attempt->m_backend->m_isEntry) {
    m_context.m_crashWatch->OnCancelled(*m_attempt->m_backend, CurrentRun());
  }
  End(RequestEnd::CallerLeft, 0);
}

void RequestRelay::OnGivenUp() {
  if (m_ended) {
    return;
  }
  const NextAction action = m_attempt ? m_retryPolicy.OnRunElsewhere(m_answerBegun)
                                      : m_retryPolicy.OnGivenUp(m_answerBegun);
  LogLine line("given-up");
  line.Text("id", m_metadata.m_requestId).Text("next", NameOf(kNextActionNames, action));
  line.Count("sends", m_retryPolicy.Sends());
  m_context.Log(LogPriority::Notable, line);
  ExecuteAction(action);
}

void RequestRelay::OnDeadline() {
  m_deadlineTimer = EventLoop::kNoTimer;
  if (m_ended) {
    return;
  }
  if (m_attempt) {
    EndAttempt(AttemptOutcome::Lost);
  } else {
    ExecuteAction(m_retryPolicy.OnGivenUp(m_answerBegun));
  }
}

void RequestRelay::OnStall() {
  if (m_ended || !m_attempt) {
    return;
  }
  if (m_answerBegun && (!m_attempt->m_isStream || m_framer.IsPlaceUnknown())) {
    // No other answer can go on where this one is. It may only wait for a caller that reads slowly.
    return;
  }
  const bool isBusyElsewhere = m_route->m_kind == RouteKind::Streaming &&
                               m_attempt->m_backend->m_lastReceivedAt > m_attempt->m_sentAt;
  if (isBusyElsewhere) {
    // The server is alive but busy. Sending the request again would add to the load.
    MoveSlowStream(m_context.m_loop.Now() - m_lastEvents);
    return;
  }
  if (!HasUnlimitedServer(m_attempt->m_backend.get())) {
    // Only this server can still answer it.
    StartStallTimer(kStallCheckInterval);
    return;
  }
  // A suspect may be about to crash this server, and would be given a second one.
  if (IsSuspect() || !MayRun() || !TryReplaceRun(0)) {
    return;
  }
  m_context.m_crashWatch->OnSilent(*m_attempt->m_backend, CurrentRun());
  const Time now = m_context.m_loop.Now();
  LogLine line("stalled");
  line.Text("id", m_metadata.m_requestId).Text("backend", m_attempt->m_backend->m_record.m_id);
  line.Ms("waited", now - m_attempt->m_sentAt).Count("events", m_framer.CountEvents());
  m_context.Log(LogPriority::Notable, line);
  m_attempt->m_backend->m_health.OnFailure(now);
  ReportEvidence(VersionOutcome::Stalled);
  m_triedBackends.push_back(m_attempt->m_backend->m_record.m_id);
  ReleaseAttempt();
  Dispatch();
}

Duration RequestRelay::MeasuredLatency() const {
  // Other prompts on the server delay the first event of a stream. Only the time between later
  // events depends on the server's version.
  return m_attempt->m_isStream ? m_attempt->m_pace.Value()
                               : m_context.m_loop.Now() - m_attempt->m_sentAt;
}

std::string RequestRelay::LatencyKind() const {
  return m_attempt->m_isStream ? m_service + "/" + m_attempt->m_model : m_route->m_name;
}

void RequestRelay::ReportProvenRun() {
  const Duration sinceFirst = m_context.m_loop.Now() - *m_attempt->m_firstEventAt;
  if (!m_attempt->m_isProven && sinceFirst >= kProvenRunTime) {
    m_attempt->m_isProven = true;
    m_context.m_crashWatch->OnBegun(Causes());
  }
}

void RequestRelay::ReportPace() {
  const StreamPace& gaps = m_attempt->m_pace;
  const Duration median = gaps.LeastMedian();
  const bool isKnown = gaps.HasMedian() || (median > Duration(0) && m_context.m_isDelayed &&
                                            m_context.m_isDelayed(LatencyKind(), median));
  if (isKnown && !std::exchange(m_attempt->m_hasReportedPace, true)) {
    SendEvidence(VersionOutcome::Paced, median);
  }
  const Duration pace = m_attempt->m_pace.Value();
  if (pace > Duration(0) && m_context.m_isSlow && m_context.m_isSlow(LatencyKind(), pace)) {
    ReportEvidence(VersionOutcome::Answered);
  }
}

void RequestRelay::ReportEvidence(VersionOutcome aOutcome) {
  if (!std::exchange(m_attempt->m_hasReported, true)) {
    SendEvidence(aOutcome, MeasuredLatency());
  }
}

void RequestRelay::SendEvidence(VersionOutcome aOutcome, Duration aLatency) {
  // The entry that sent it to a server reports what it shows of the server's version.
  const bool isOther = m_attempt->m_backend->m_isEntry;
  if (isOther || !m_context.m_onEvidence) {
    return;
  }
  m_context.m_onEvidence({.m_service = m_service,
                          .m_version = m_attempt->m_backend->m_record.m_version,
                          .m_route = m_route->m_name,
                          .m_kind = LatencyKind(),
                          .m_latency = aLatency,
                          .m_outcome = aOutcome,
                          .m_isStream = m_attempt->m_isStream,
                          .m_server = m_attempt->m_backend->m_identity,
                          .m_isBroken = m_attempt->IsBroken()});
}

} // namespace fennelline

#include "Services/Edge/RequestRelay.h"

#include "LibRouting/ContentFingerprint.h"
#include "LibRouting/ShutdownPolicy.h"
#include "Services/Edge/CrashWatch.h"
#include "Services/Edge/Hash.h"
#include "Services/Edge/RoomQueue.h"
#include "Services/Edge/ServerPaths.h"
#include "Services/Edge/ServerPermits.h"
#include "Services/Edge/SessionKeeper.h"
#include "platform/RequestCodec.h"

#include <algorithm>

namespace fennelline {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/// A starting entry receives the configuration within about this time.
constexpr Duration kStartingRetryAfter = Milliseconds(300);
/// A starting entry receives the configuration within about 50 ms, so a short wait is better for
/// callers than a refusal. This bounds the wait if the store is unavailable.
constexpr Duration kMaxConfigurationWait = Milliseconds(400);
constexpr std::size_t kMaxWaitingForConfiguration = 200;
/// Used if no backend server is available: a crashed one is back within a few seconds.
constexpr Duration kMinRetryAfter = Milliseconds(250);
constexpr Duration kRetryAfterSpread = Milliseconds(750);

/// An idempotent request without a response after this fraction of its latency objective is sent to
/// another server: the rest is enough there for a typical response.
constexpr double kStallFraction = 0.65;
/// The same for the first event of a stream, which long prompts queued before it may delay.
constexpr double kStreamStallFraction = 0.8;

/// The attempt is not abandoned before twice the expected prefill time of this prompt and those
/// queued before it.
constexpr std::int64_t kStallPrefillFactor = 2;

/// Route priorities start at 0. Servers accept 0 to 9 and use 5 for requests without a priority.
constexpr int kMostUrgentPriority = 4;
constexpr int kLeastUrgentPriority = 9;

} // namespace

void RequestRelay::Start(EdgeContext& aContext, std::shared_ptr<ServerConnection> aCaller,
                         IncomingRequest aRequest, std::optional<PassedOnRequest> aPassedOn) {
  const std::shared_ptr<RequestRelay> relay =
    std::make_shared<RequestRelay>(aContext, std::move(aCaller), std::move(aRequest), aPassedOn);
  relay->m_caller->SetOnDisconnected([relay] { relay->OnCallerGone(); });
  relay->m_caller->SetOnGivenUp([relay] { relay->OnGivenUp(); });
  relay->Admit();
}

RequestRelay::RequestRelay(EdgeContext& aContext, std::shared_ptr<ServerConnection> aCaller,
                           IncomingRequest aRequest, std::optional<PassedOnRequest> aPassedOn)
  : m_context(aContext)
  , m_caller(std::move(aCaller))
  , m_request(std::move(aRequest))
  , m_passedOn(aPassedOn)
  , m_routes(aContext.m_routes) {
  m_context.m_passedOnRequests += m_passedOn ? 1 : 0;
}

void RequestRelay::Reject(int aStatus, std::string_view aReason) {
  LogLine line("rejected");
  line.Text("id", m_metadata.m_requestId).Count("status", aStatus).Text("reason", aReason);
  line.Count("configuration", m_routes ? m_routes->Version() : 0);
  line.Ms("belief-age", m_context.m_loop.Now() - m_context.m_storeConfirmedAt);
  m_context.Log(LogPriority::Notable, line);
  ResponseHead head{.m_status = aStatus, .m_headers = {}};
  platform::AddRequestId(head.m_headers, m_metadata.m_requestId);
  m_caller->SendResponse(head, {});
  End(RequestEnd::Rejected, aStatus);
}

bool RequestRelay::FindRoute() {
  const std::string* host = m_request.m_head.m_headers.Find("host");
  m_route = m_routes->FindRoute(host == nullptr ? "" : *host, m_request.m_head.m_target);
  if (m_route == nullptr) {
    Reject(kNotFound, "no such route");
    return false;
  }
  m_account = m_routes->FindAccount(m_metadata.m_key);
  if (m_routes->HasAccounts() && !m_route->m_isPublic && m_account == nullptr) {
    Reject(kUnauthorized, "no such key");
    return false;
  }
  return true;
}

void RequestRelay::WaitForConfiguration() {
  if (m_context.m_waitingForConfiguration.size() >= kMaxWaitingForConfiguration) {
    Refuse("no configuration is known yet", kStartingRetryAfter);
    return;
  }
  m_deadlineTimer = m_context.m_loop.After(kMaxConfigurationWait, [self = shared_from_this()] {
    self->m_deadlineTimer = EventLoop::kNoTimer;
    self->Refuse("no configuration is known yet", kStartingRetryAfter);
  });
  m_context.m_waitingForConfiguration.emplace_back([self = shared_from_this()] {
    if (!self->m_ended) {
      self->m_context.m_loop.Cancel(std::exchange(self->m_deadlineTimer, EventLoop::kNoTimer));
      self->m_routes = self->m_context.m_routes;
      self->Admit();
    }
  });
}

void RequestRelay::Admit() {
  const Result<RequestMetadata> metadata = platform::DecodeRequest(m_request.m_head.m_headers);
  if (metadata.IsError()) {
    Reject(kBadRequest, metadata.GetError().m_detail);
    return;
  }
  m_metadata = metadata.Get();
  if (!m_routes) {
    WaitForConfiguration();
  }
  if (!m_routes || !FindRoute()) {
    return;
  }
  const Duration callerTimeout = m_metadata.m_callerTimeout.value_or(m_route->m_timeout);
  const Time answerBy = m_request.m_arrived + std::min(callerTimeout, m_route->m_timeout);
  m_caller->SetReadBy(answerBy);
  m_retryPolicy =
    RetryPolicy({.m_kind = m_route->m_kind,
                 .m_resumable = m_route->m_resumable,
                 .m_attempts = m_passedOn ? std::min(m_route->m_attempts, m_passedOn->m_runsLeft)
                                          : m_route->m_attempts,
                 .m_answerBy = answerBy});
  // A server does not resume a stream of another route: it sends all events, and all are due.
  m_framer = EventFramer({.m_after = m_route->m_resumable ? m_metadata.m_lastEvent : std::nullopt,
                          .m_otherStart = m_metadata.m_lastEvent,
                          .m_isNumbered = m_route->m_kind == RouteKind::Streaming,
                          .m_leadingField = platform::kEventWeightVersions});
  m_hash = HashOf(m_metadata.m_session.empty() ? m_metadata.m_requestId : m_metadata.m_session);
  m_service = RouteTable::ChooseService(*m_route, m_hash);
  if (!m_passedOn) {
    // The other entry has counted its request.
    m_context.m_retries[m_service].OnRequest(m_context.m_loop.Now());
  }
  if (const std::string_view whyNotTaken = WhyNotTaken(); !whyNotTaken.empty()) {
    Refuse(whyNotTaken, Duration(0));
    return;
  }
  const ShutdownPolicy shutdownPolicy{.m_grace = m_context.m_settings.m_grace};
  const Time now = m_context.m_loop.Now();
  if (m_context.m_stopRequestedAt &&
      !shutdownPolicy.AcceptsRequest(m_route->m_kind, now - *m_context.m_stopRequestedAt,
                                     answerBy - now)) {
    Refuse("stopping", Duration(0));
    return;
  }
  m_deadlineTimer =
    m_context.m_loop.At(answerBy, [self = shared_from_this()] { self->OnDeadline(); });
  DispatchInSession();
}

VersionRule RequestRelay::RuleForRequest() const {
  const auto found = m_context.m_versions.find(m_service);
  VersionRule rule = found == m_context.m_versions.end() ? VersionRule{} : found->second;
  if (rule.m_preference == VersionPreference::Trial) {
    // A retry stays on the version on which the request began.
    const bool runsElsewhere = !m_version.empty() && m_version != rule.m_version;
    const bool isChosen = !m_excludedFromTrial && !runsElsewhere &&
                          IsInTrial(m_hash, TrialShare(m_context.m_settings.m_exposedShare));
    rule.m_preference = isChosen ? VersionPreference::Trial : VersionPreference::Never;
  } else if (m_context.m_loop.Now() < rule.m_rampUntil && !IsInTrial(m_hash, kRampShare)) {
    rule.m_preference = VersionPreference::Never;
  }
  return rule;
}

const CrashCauses& RequestRelay::Causes() {
  if (m_causes.m_content.empty()) {
    const std::string account = m_account == nullptr ? std::string() : m_account->m_name;
    m_causes.m_content = ContentFingerprint(account, m_request.m_head.m_method,
                                            m_request.m_head.m_target, m_request.m_body);
    m_causes.m_parts = FingerprintParts(account, m_metadata.m_promptParts);
  }
  return m_causes;
}

ServerRun RequestRelay::CurrentRun() {
  return {.m_requestId = m_metadata.m_requestId,
          .m_causes = Causes(),
          .m_sentAt = m_attempt->m_sentAt,
          .m_headAt = m_attempt->m_headAt,
          .m_firstEventAt = m_attempt->m_firstEventAt,
          .m_isProven = m_attempt->m_isProven};
}

bool RequestRelay::MayRun() {
  CrashWatch& crashWatch = *m_context.m_crashWatch;
  return crashWatch.IsEmpty() || crashWatch.MayRun(Causes(), m_crashTrial);
}

bool RequestRelay::IsSuspect() {
  CrashWatch& crashWatch = *m_context.m_crashWatch;
  return !crashWatch.IsEmpty() &&
         (m_crashTrial.IsGiven() || crashWatch.IsSuspect(Causes().m_content));
}

void RequestRelay::EndAsCrashing() {
  const NextAction action = m_retryPolicy.OnGivenUp(m_answerBegun);
  LogLine line("content-not-run");
  const std::string cause = m_context.m_crashWatch->RefusedCause(Causes());
  line.Text("id", m_metadata.m_requestId).Text("content", cause);
  line.Text("next", NameOf(kNextActionNames, action)).Count("sends", m_retryPolicy.Sends());
  m_context.Log(LogPriority::Notable, line);
  m_context.m_metrics.OnContentRefused();
  if (action == NextAction::Refuse) {
    Refuse("requests with this content crash servers",
           std::max(m_context.m_crashWatch->RefusedFor(cause), RetryAfter()));
  } else {
    ExecuteAction(action);
  }
}

void RequestRelay::DispatchInSession() {
  const VersionRule rule = RuleForRequest();
  if (rule.m_preference != VersionPreference::Trial || m_metadata.m_session.empty()) {
    Dispatch();
    return;
  }
  const auto dispatch = [self = shared_from_this()](bool aStaysOnOldVersion) {
    if (self->m_ended) {
      return;
    }
    self->m_excludedFromTrial = aStaysOnOldVersion;
    if (aStaysOnOldVersion) {
      self->m_context.m_sessions->Announce(self->m_hash);
    }
    self->Dispatch();
  };
  if (m_context.m_loop.Now() < rule.m_trialFrom) {
    dispatch(true);
  } else {
    m_context.m_sessions->Ask(m_hash, dispatch);
  }
}

std::string RequestRelay::EncodeForBackend(const BackendLink& aBackend, const std::string& aModel) {
  ForwardMetadata forward;
  forward.m_timeLeft =
    std::max(Duration(0), m_retryPolicy.Promise().m_answerBy - m_context.m_loop.Now());
  forward.m_replica = aBackend.m_record.m_id;
  forward.m_account = m_account == nullptr ? std::string() : m_account->m_name;
  forward.m_model = aModel;
  forward.m_lastEvent = m_framer.LastEvent();
  if (m_route->m_kind == RouteKind::Streaming) {
    forward.m_priority =
      kMostUrgentPriority + std::min(Priority(), kLeastUrgentPriority - kMostUrgentPriority);
  }
  return WriteRequest(m_request.m_head.m_method, m_request.m_head.m_target,
                      platform::EncodeForward(m_request.m_head.m_headers, forward),
                      m_request.m_body);
}

void RequestRelay::Dispatch() {
  if (const std::shared_ptr<BackendLink> peer = ChoosePeer()) {
    PassOn(peer);
    return;
  }
  if (!MayRun()) {
    EndAsCrashing();
    return;
  }
  if (WaitForCapacity()) {
    return;
  }
  const std::optional<Choice> choice = ChooseBackend();
  if (!choice) {
    if (IgnoreCrowding()) {
      Dispatch();
    } else if (!WaitForRoom()) {
      ExecuteAction(m_retryPolicy.OnGivenUp(m_answerBegun));
    }
  } else if (NeedFor(*choice->m_backend) != PermitNeed::None) {
    AskPermit(*choice);
  } else {
    m_context.m_permits->OnSentFreely(*choice->m_backend);
    Send(*choice);
  }
}

int RequestRelay::Priority() const {
  return m_account != nullptr && m_account->m_priority ? *m_account->m_priority
                                                       : m_route->m_priority;
}

int RequestRelay::Urgency() const {
  return std::clamp(Priority(), 0, kUrgencyLevels - 1);
}

void RequestRelay::AskPermit(const Choice& aChoice) {
  aChoice.m_backend->m_limitCheckedAt = m_context.m_loop.Now();
  m_context.m_permits->Ask(*aChoice.m_backend, Urgency(),
                           [self = shared_from_this(), aChoice](const PermitDecision& aDecision) {
                             self->OnPermit(aChoice, aDecision);
                           });
}

void RequestRelay::OnPermit(const Choice& aChoice, const PermitDecision& aDecision) {
  BackendLink& backend = *aChoice.m_backend;
  const Time now = m_context.m_loop.Now();
  m_context.m_metrics.OnPermit(aDecision.m_isGranted);
  LogLine line("permit");
  line.Text("id", m_metadata.m_requestId).Text("backend", backend.m_record.m_id);
  line.Flag("granted", aDecision.m_isGranted).Count("urgency", Urgency());
  const std::optional<PermitTerms> terms = m_context.m_permits->TermsFor(backend);
  line.Real("per-second", terms ? terms->m_perSecond : 0.0);
  line.Ms("next", aDecision.m_nextPermit).Ms("likely", aDecision.m_likelyWait);
  m_context.Log(LogPriority::Routine, line);
  if (!aDecision.m_isGranted) {
    backend.m_nextPermit[static_cast<std::size_t>(Urgency())] = now + aDecision.m_nextPermit;
    backend.m_likelyPermit = std::max(backend.m_likelyPermit, now + aDecision.m_likelyWait);
  }
  if (m_ended) {
    return;
  }
  const PermitNeed need = m_context.m_permits->NeedFor(backend);
  if (!aDecision.m_isGranted && need == PermitNeed::Advised) {
    m_context.m_permits->OnStillCrowded(backend);
  }
  if (!aDecision.m_isGranted && need == PermitNeed::Required && !backend.m_limit.PerSecond()) {
    m_context.m_metrics.OnTurnedFromCold();
  }
  // The server may have begun to leave, its data centre been evacuated, and the content been
  // refused, since the permit was asked for.
  const bool maySendFreely = aDecision.m_isUnanswered && need != PermitNeed::Required;
  const bool isBarred = !backend.TakesRequests(now) || m_context.IsEvacuated(backend);
  if ((!aDecision.m_isGranted && !maySendFreely) || isBarred) {
    m_withoutPermit.push_back(backend.m_record.m_id);
    Dispatch();
  } else if (!MayRun()) {
    EndAsCrashing();
  } else {
    if (!aDecision.m_isGranted) {
      m_context.m_permits->OnSentFreely(backend);
    }
    Send(aChoice);
  }
}

void RequestRelay::Send(const Choice& aChoice) {
  const std::shared_ptr<BackendLink>& backend = aChoice.m_backend;
  m_withoutPermit.clear();
  m_framer.BeginAttempt();
  if (aChoice.m_isEngine) {
    RecordPrefill(aChoice);
  }
  Attempt attempt;
  attempt.m_backend = backend;
  attempt.m_model = ChooseModel();
  attempt.m_sentAt = m_context.m_loop.Now();
  attempt.m_isSuspect = IsSuspect();
  attempt.m_load = aChoice.m_load;
  attempt.m_speedFactor = aChoice.m_speedFactor;
  LogLine line("attempt");
  line.Text("id", m_metadata.m_requestId).Text("backend", backend->m_record.m_id);
  line.Text("service", m_service).Text("version", backend->m_record.m_version);
  line.Text("model", attempt.m_model).Count("number", m_retryPolicy.Sends() + 1);
  line.Count("running", backend->m_runningRequests).Count("tokens", m_prefillTokens);
  line.Flag("prefix-held", m_prefixCached);
  line.Ms("reading", backend->m_prefillLoad.Left(attempt.m_sentAt));
  line.Real("speed-factor", aChoice.m_speedFactor);
  line.Real("failure-rate", backend->m_health.FailureRate(attempt.m_sentAt));
  line.Count("configuration", m_routes->Version());
  line.Ms("belief-age", attempt.m_sentAt - m_context.m_storeConfirmedAt);
  m_context.Log(LogPriority::Routine, line);
  // A server may close an idle connection, or have crashed, just when a request is sent on it. A
  // new connection shows that the server is up, so that a request that cannot be retried is not
  // sent in vain, and one that broke elsewhere does not seem to have crashed this server too.
  const bool needsFresh =
    !m_retryPolicy.Promise().MayRepeat() || m_wasBroken || attempt.m_isSuspect;
  Result<std::shared_ptr<ClientConnection>> channel = backend->m_pool.Acquire(needsFresh);
  if (channel.IsError()) {
    backend->m_health.OnUnreachable(attempt.m_sentAt);
    m_context.m_paths->OnUnreachable(*backend);
    ++m_unreachableServers;
    m_triedBackends.push_back(backend->m_record.m_id);
    ExecuteAction(m_retryPolicy.OnOutcome(AttemptOutcome::NotSent, m_answerBegun,
                                          m_context.m_retries[m_service], m_context.RetryPlan(),
                                          attempt.m_sentAt));
    return;
  }
  attempt.m_channel = channel.Take();
  ++backend->m_runningRequests;
  backend->m_runningSuspects += attempt.m_isSuspect ? 1 : 0;
  m_version = backend->m_record.m_version;
  const std::string bytes = EncodeForBackend(*backend, attempt.m_model);
  m_attempt = std::move(attempt);
  OnRunSent();
  m_attempt->m_channel->SetOnConnected([self = shared_from_this(), backend] {
    self->m_context.m_paths->OnReached(*backend);
    if (self->m_context.IsEvacuated(*backend)) {
      // The order came while the connection was made. Nothing has been written on it yet.
      self->EndAttempt(AttemptOutcome::NotSent);
      return;
    }
    if (self->m_crashTrial.IsGiven()) {
      self->m_context.m_crashWatch->OnTrialSent(self->m_crashTrial);
    }
  });
  m_attempt->m_channel->Send(bytes, IsHeadRequest(), MakeListener(),
                             m_retryPolicy.Promise().m_answerBy - m_context.m_loop.Now());
  if (m_retryPolicy.HasRunLeft() && m_route->m_objective > Duration(0)) {
    const double fraction =
      m_route->m_kind == RouteKind::Streaming ? kStreamStallFraction : kStallFraction;
    const Duration objectivePart =
      std::chrono::duration_cast<Duration>(m_route->m_objective * fraction);
    const Duration expectedPrefill = backend->m_prefillLoad.Left(m_context.m_loop.Now());
    StartStallTimer(std::max(objectivePart, expectedPrefill * kStallPrefillFactor));
  }
}

CallListener RequestRelay::MakeListener() {
  CallListener listener;
  listener.m_onHead = [self = shared_from_this()](const MessageHead& aHead) {
    return self->OnHead(aHead);
  };
  listener.m_onBody = [self = shared_from_this()](const std::string& aPart) {
    self->OnBody(aPart);
  };
  listener.m_onComplete = [self = shared_from_this()] { self->OnComplete(); };
  listener.m_onFailed = [self = shared_from_this()](CallFailure aFailure) {
    self->OnFailed(aFailure);
  };
  return listener;
}

void RequestRelay::StartStallTimer(Duration aTime) {
  m_context.m_loop.Cancel(m_stallTimer);
  m_stallTimer = m_context.m_loop.After(aTime, [self = shared_from_this()] {
    self->m_stallTimer = EventLoop::kNoTimer;
    self->OnStall();
  });
}

void RequestRelay::ExecuteAction(NextAction aAction) {
  switch (aAction) {
    case NextAction::Send:
      Dispatch();
      return;
    case NextAction::Refuse:
      if (const std::optional<Duration> wait = TakeLikelyPermit()) {
        Refuse("the backend servers limit requests", *wait + RetryAfter());
      } else if (const std::optional<Duration> untilReturn = UntilServersReturn()) {
        Refuse("the backend servers ask to be left alone", *untilReturn + RetryAfter());
      } else {
        Refuse("no backend server can take it", RetryAfter());
      }
      return;
    case NextAction::ForwardFailure:
      ForwardFailure();
      return;
    case NextAction::AbortAnswer:
      m_caller->Abort();
      End(RequestEnd::Cut, 0);
      return;
    case NextAction::Fail:
      break;
  }
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  const bool isLate = m_context.m_loop.Now() >= m_retryPolicy.Promise().m_answerBy;
  const int status = isLate ? kGatewayTimeout : kBadGateway;
  ResponseHead head{.m_status = status, .m_headers = {}};
  platform::AddRequestId(head.m_headers, m_metadata.m_requestId);
  m_caller->SendResponse(head, {});
  End(RequestEnd::Failed, status);
}

Duration SpreadRetryAfter(Random& aRandom) {
  const double spread = aRandom.Uniform();
  return kMinRetryAfter + std::chrono::duration_cast<Duration>(kRetryAfterSpread * spread);
}

Duration RequestRelay::RetryAfter() const {
  return SpreadRetryAfter(m_context.m_random);
}

void RequestRelay::Refuse(std::string_view aReason, Duration aRetryAfter) {
  LogLine line("refused");
  line.Text("id", m_metadata.m_requestId).Text("reason", aReason).Ms("retry-after", aRetryAfter);
  line.Text("service", m_service).Count("sends", m_retryPolicy.Sends());
  line.Text("servers", DescribeBars());
  line.Count("configuration", m_routes ? m_routes->Version() : 0);
  line.Ms("belief-age", m_context.m_loop.Now() - m_context.m_storeConfirmedAt);
  m_context.Log(LogPriority::Notable, line);
  ResponseHead head{.m_status = kUnavailable, .m_headers = {}};
  platform::AddRequestId(head.m_headers, m_metadata.m_requestId);
  platform::AddRetryAfter(head.m_headers, aRetryAfter);
  if (m_passedOn && (!WhyNotTaken().empty() || m_unreachableServers > 0)) {
    AddNotTaken(head.m_headers);
  }
  m_caller->SendResponse(head, {});
  End(RequestEnd::Refused, kUnavailable);
}

void RequestRelay::End(RequestEnd aEnd, int aStatus) {
  if (std::exchange(m_ended, true)) {
    return;
  }
  const Time now = m_context.m_loop.Now();
  m_context.m_passedOnRequests -= m_passedOn ? 1 : 0;
  m_context.m_loop.Cancel(m_deadlineTimer);
  m_context.m_loop.Cancel(m_stallTimer);
  m_context.m_room->Leave(m_service, m_roomTicket);
  m_context.m_overload->Leave(m_service, m_overloadTicket);
  ReleaseAttempt();
  const auto found = m_context.m_versions.find(m_service);
  const bool isTrial =
    found != m_context.m_versions.end() &&
    (found->second.m_preference == VersionPreference::Trial || found->second.m_isPending);
  const bool isOld = !m_version.empty() && isTrial && m_version != found->second.m_version;
  if (isOld && !m_metadata.m_session.empty() &&
      IsInTrial(m_hash, TrialShare(m_context.m_settings.m_exposedShare))) {
    // The session stays alive for the session time after the end of a request, however long the
    // request took.
    m_context.m_sessions->Announce(m_hash);
  }
  const RouteKind kind = m_route == nullptr ? RouteKind::NonIdempotent : m_route->m_kind;
  m_context.m_metrics.OnRequestEnded(kind, aEnd);
  m_context.m_metrics.OnAnswered(kind, now - m_request.m_arrived);
  LogLine line("request");
  line.Text("id", m_metadata.m_requestId).Text("end", NameOf(kRequestEndNames, aEnd));
  line.Count("status", aStatus).Text("route", m_route == nullptr ? "" : m_route->m_name);
  line.Text("account", m_account == nullptr ? "" : m_account->m_name);
  line.Count("sends", m_retryPolicy.Sends()).Ms("took", now - m_request.m_arrived);
  if (m_firstByte != Time{}) {
    line.Ms("first-byte", m_firstByte - m_request.m_arrived);
  }
  line.Count("events", m_framer.CountEvents()).Ms("longest-pause", m_longestPause);
  m_context.Log(aEnd == RequestEnd::Answered ? LogPriority::Routine : LogPriority::Notable, line);
}

} // namespace fennelline

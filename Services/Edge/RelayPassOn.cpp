// Passes requests on to other entries while this one has no path to the backend servers.

#include "LibRouting/PassedOnRequest.h"
#include "Services/Edge/PeerRelays.h"
#include "Services/Edge/RequestRelay.h"
#include "Services/Edge/ServerPaths.h"
#include "platform/RequestCodec.h"

namespace fennelline {

namespace {

constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;

/// Servers that a request may fail to connect to before another entry gets it, although the path is
/// not known to be lost: kept connections may live on where new ones are refused.
constexpr int kMaxUnreachableServers = 2;

/// Requests of other entries that this one has in hand at most, so that its own callers are served.
constexpr std::size_t kMaxPassedOnRequests = 250;

} // namespace

std::shared_ptr<BackendLink> RequestRelay::ChoosePeer() const {
  const bool needsPeer = m_context.m_paths->IsLost(m_service) ||
                         m_unreachableServers >= kMaxUnreachableServers || IsWithoutShare();
  return needsPeer && !m_passedOn ? m_context.m_peers->Choose(m_triedBackends) : nullptr;
}

std::string_view RequestRelay::WhyNotTaken() const {
  if (!m_passedOn) {
    return {};
  }
  if (m_context.m_stopRequestedAt) {
    return "stopping";
  }
  if (m_context.m_passedOnRequests > kMaxPassedOnRequests) {
    return "too many requests of other entries";
  }
  if (!m_routes || m_routes->Version() < m_passedOn->m_configuration) {
    return "the configuration is older than that of the other entry";
  }
  if (m_context.m_paths->IsLost(m_service)) {
    return "no path to the servers";
  }
  return IsWithoutShare() ? "no part of the servers' slots" : "";
}

void RequestRelay::PassOn(const std::shared_ptr<BackendLink>& aPeer) {
  m_framer.BeginAttempt();
  Attempt attempt;
  attempt.m_backend = aPeer;
  attempt.m_sentAt = m_context.m_loop.Now();
  const PassedOnRequest passedOn{.m_runsLeft = m_retryPolicy.RunsLeft(),
                                 .m_configuration = m_routes->Version()};
  LogLine line("passed-on");
  line.Text("id", m_metadata.m_requestId).Text("entry", aPeer->m_record.m_id);
  line.Text("service", m_service).Flag("path-lost", m_context.m_paths->IsLost(m_service));
  line.Count("unreachable", m_unreachableServers).Count("runs-left", passedOn.m_runsLeft);
  line.Count("running", aPeer->m_runningRequests).Count("configuration", m_routes->Version());
  m_context.Log(LogPriority::Routine, line);
  m_context.m_metrics.OnPassedOn();
  const bool needsFresh = !m_retryPolicy.Promise().MayRepeat() || m_wasBroken;
  Result<std::shared_ptr<ClientConnection>> channel = aPeer->m_pool.Acquire(needsFresh);
  if (channel.IsError()) {
    m_triedBackends.push_back(aPeer->m_record.m_id);
    m_context.m_peers->OnNotTaken(*aPeer);
    Dispatch();
    return;
  }
  attempt.m_channel = channel.Take();
  ++aPeer->m_runningRequests;
  ForwardMetadata forward;
  forward.m_timeLeft =
    std::max(Duration(0), m_retryPolicy.Promise().m_answerBy - m_context.m_loop.Now());
  forward.m_lastEvent = m_framer.LastEvent();
  HeaderList headers = platform::EncodeForEntry(m_request.m_head.m_headers, forward);
  AddPassedOn(headers, passedOn);
  m_attempt = std::move(attempt);
  m_attempt->m_channel->Send(
    WriteRequest(m_request.m_head.m_method, m_request.m_head.m_target, headers, m_request.m_body),
    IsHeadRequest(), MakeListener());
}

HeadAction RequestRelay::OnEntryHead(const MessageHead& aHead, const ResponseMetadata& aMetadata) {
  const bool isServers =
    aMetadata.m_hasSeal && !aMetadata.m_requestId.empty() && !aMetadata.m_isEncoded;
  m_attempt->m_head = aHead;
  m_attempt->m_metadata = aMetadata;
  if (isServers) {
    m_context.m_peers->OnTaken(*m_attempt->m_backend);
    m_attempt->m_hasHead = true;
    const bool isSuccess = aHead.m_status < kFirstRedirect;
    m_attempt->m_isStream = isSuccess && aMetadata.m_isEventStream && !IsHeadRequest();
    if ((m_answerBegun || (isSuccess && IsStreamDue())) && !m_attempt->m_isStream) {
      // A stream is due, or part of another response was already sent to the caller.
      EndPassedOn(EntryOutcome::Failed);
    }
    return HeadAction::Accept;
  }
  // The answer is the other entry's own. Its rejections of the request itself mean that it has
  // another configuration.
  if (IsNotTaken(aHead.m_headers) || aHead.m_status < kFirstServerError) {
    m_attempt->m_entryOutcome = EntryOutcome::NotTaken;
  } else {
    m_attempt->m_entryOutcome =
      aHead.m_status == kUnavailable ? EntryOutcome::Refused : EntryOutcome::Failed;
  }
  return HeadAction::Accept;
}

void RequestRelay::OnEntryFailed(CallFailure aFailure) {
  const bool wasSent = aFailure != CallFailure::Refused && aFailure != CallFailure::NotSent;
  EndPassedOn(
    m_attempt->m_entryOutcome.value_or(wasSent ? EntryOutcome::Failed : EntryOutcome::NotTaken));
}

void RequestRelay::EndPassedOn(EntryOutcome aOutcome) {
  const Time now = m_context.m_loop.Now();
  const std::shared_ptr<BackendLink> peer = m_attempt->m_backend;
  const MessageHead head = std::move(m_attempt->m_head);
  LogLine line("passed-on-end");
  line.Text("id", m_metadata.m_requestId).Text("entry", peer->m_record.m_id);
  line.Text("outcome", NameOf(kEntryOutcomeNames, aOutcome)).Count("status", head.m_status);
  line.Ms("took", now - m_attempt->m_sentAt).Count("events", m_framer.CountEvents());
  m_context.Log(LogPriority::Notable, line);
  m_triedBackends.push_back(peer->m_record.m_id);
  ReleaseAttempt();
  switch (aOutcome) {
    case EntryOutcome::NotTaken:
      m_context.m_peers->OnNotTaken(*peer);
      if (now < m_retryPolicy.Promise().m_answerBy) {
        Dispatch();
      } else {
        ExecuteAction(m_retryPolicy.OnGivenUp(m_answerBegun));
      }
      return;
    case EntryOutcome::Refused:
      if (m_retryPolicy.OnGivenUp(m_answerBegun) != NextAction::Refuse) {
        ExecuteAction(m_retryPolicy.OnGivenUp(m_answerBegun));
        return;
      }
      m_caller->SendResponse(
        {.m_status = head.m_status, .m_headers = platform::EncodeAnswer(head.m_headers)}, {});
      End(RequestEnd::Refused, head.m_status);
      return;
    case EntryOutcome::Failed:
      ExecuteAction(m_retryPolicy.OnRunElsewhere(m_answerBegun));
      return;
  }
}

} // namespace fennelline

#include "Services/Entry/Shell/BackendCaller.h"

namespace fennelline {

namespace {

/// Timeout of calls that are not part of a request: load reports, cache events, cancellation.
constexpr Duration kSideCallTimeout = Milliseconds(1'000);
constexpr std::string_view kServicePath = "/v1/services/";

BackendFailure FailureOf(BackendCallFailure aFailure) {
  switch (aFailure) {
    case BackendCallFailure::NotSent:
      return BackendFailure::NotSent;
    case BackendCallFailure::Refused:
      return BackendFailure::Refused;
    case BackendCallFailure::Broken:
      return BackendFailure::Broken;
    case BackendCallFailure::ServerError:
      return BackendFailure::ServerError;
    case BackendCallFailure::StreamLost:
      return BackendFailure::StreamLost;
  }
  return BackendFailure::Broken;
}

BackendRequest RequestOf(CallBackend aEffect) {
  BackendRequest request;
  request.m_address = std::move(aEffect.m_address);
  request.m_path = std::move(aEffect.m_path);
  request.m_body = std::move(aEffect.m_body);
  request.m_attempt = std::move(aEffect.m_attempt);
  request.m_version = std::move(aEffect.m_version);
  request.m_priority = aEffect.m_priority;
  request.m_stream = aEffect.m_stream;
  request.m_resume = aEffect.m_resume;
  request.m_resumeAfter = aEffect.m_resumeAfter;
  request.m_timeout = aEffect.m_timeout;
  request.m_idleTimeout = aEffect.m_stream ? aEffect.m_silence : aEffect.m_timeout;
  return request;
}

} // namespace

BackendCaller::BackendCaller(HttpTransport& aTransport, BlockingCalls& aCalls, Post aPost)
  : m_calls(aCalls)
  , m_post(std::move(aPost))
  , m_engines(aTransport, kSideCallTimeout)
  , m_services(aTransport, kSideCallTimeout) {}

BackendObserver BackendCaller::ObserverOf(BackendCallId aCall,
                                          const BackendServerId& aBackendServer) {
  BackendObserver observer;
  observer.m_head = [this, aCall](int aStatus, const std::string& aContentType) {
    m_post(BackendAnswered{.m_call = aCall, .m_status = aStatus, .m_contentType = aContentType});
  };
  observer.m_chunk = [this, aCall](std::string aBytes, std::uint64_t aEvent, std::int64_t aTokens) {
    m_post(BackendChunk{
      .m_call = aCall, .m_bytes = std::move(aBytes), .m_tokens = aTokens, .m_eventNumber = aEvent});
  };
  observer.m_finished = [this, aCall](const BackendUsage& aUsage) {
    m_post(BackendFinished{.m_call = aCall,
                           .m_inputTokens = aUsage.m_inputTokens,
                           .m_outputTokens = aUsage.m_outputTokens,
                           .m_version = aUsage.m_version});
  };
  observer.m_failed = [this, aCall, aBackendServer](BackendCallFailure aFailure,
                                                    const std::string& aDetail) {
    m_post(BackendFailed{.m_call = aCall,
                         .m_failure = FailureOf(aFailure),
                         .m_detail = aDetail,
                         .m_backendServer = aBackendServer});
  };
  return observer;
}

void BackendCaller::Start(CallBackend aEffect) {
  const std::shared_ptr<HttpCancel> cancel = std::make_shared<HttpCancel>();
  const BackendCallId call = aEffect.m_call;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open[call] = cancel;
  }
  m_calls.Run([this, cancel, call, effect = std::move(aEffect)]() mutable {
    const BackendObserver observer = ObserverOf(call, effect.m_backendServer);
    const BackendRequest request = RequestOf(std::move(effect));
    if (request.m_path.starts_with(kServicePath)) {
      m_services.Call(request, observer, *cancel);
    } else {
      m_engines.Chat(request, observer, *cancel);
    }
    Forget(call);
  });
}

void BackendCaller::Cancel(const CancelBackend& aEffect) {
  std::shared_ptr<HttpCancel> cancel;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_open.find(aEffect.m_call);
    if (found == m_open.end()) {
      return;
    }
    cancel = found->second;
  }
  m_calls.Run([this, cancel, effect = aEffect]() {
    cancel->Cancel();
    m_engines.CancelStream(effect.m_address, effect.m_attempt);
  });
}

void BackendCaller::Forget(BackendCallId aCall) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_open.erase(aCall);
}

} // namespace fennelline

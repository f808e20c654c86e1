#include "LibPlatform/BackendReply.h"

#include "LibPlatform/JsonReply.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
constexpr const char* kNotRun = "not-run";
constexpr const char* kVersionNotLoaded = "version-not-loaded";

/// Whether the backend server reports that the request was not executed. The status alone is not
/// sufficient: a proxy or a terminating server may send 503 after the request has been executed.
bool ReportsNotRun(const HttpReply& aReply) {
  const nlohmann::json body = JsonOrEmpty(aReply.m_body);
  if (!body.contains("error") || !body["error"].is_string()) {
    return false;
  }
  const std::string code = body["error"].get<std::string>();
  return (aReply.m_status == kStatusUnavailable && code == kNotRun) ||
         (aReply.m_status == kStatusNotFound && code == kVersionNotLoaded);
}

BackendCallFailure FailureOf(const HttpReply& aReply, bool aIsResume) {
  if (aReply.m_failure == HttpFailure::NotSent) {
    return BackendCallFailure::NotSent;
  }
  if (aReply.m_failure != HttpFailure::None || aReply.m_status == kStatusOk) {
    return BackendCallFailure::Broken;
  }
  if (aIsResume) {
    return BackendCallFailure::StreamLost;
  }
  return ReportsNotRun(aReply) ? BackendCallFailure::Refused : BackendCallFailure::ServerError;
}

std::string DetailOf(const HttpReply& aReply) {
  switch (aReply.m_failure) {
    case HttpFailure::NotSent:
      return "no connection";
    case HttpFailure::Cancelled:
      return "cancelled";
    case HttpFailure::Lost:
      return "no whole reply";
    case HttpFailure::None:
      break;
  }
  return "status " + std::to_string(aReply.m_status) + ": " + aReply.m_body;
}

} // namespace

HttpReply CallBuffered(HttpTransport& aTransport, const BackendRequest& aRequest,
                       const HttpRequest& aHttpRequest, HttpCancel& aCancel) {
  std::string body;
  HttpReceiver receiver;
  receiver.m_head = [](const HttpReply&) { return true; };
  receiver.m_bytes = [&body](const char* aBytes, std::size_t aCount) {
    body.append(aBytes, aCount);
    return true;
  };
  const HttpLimits limits{.m_readTimeout = aRequest.m_timeout,
                          .m_totalTimeout = aRequest.m_timeout};
  HttpReply reply =
    aTransport.CallStreamed(aRequest.m_address, aHttpRequest, limits, receiver, aCancel);
  if (reply.m_status == kStatusOk) {
    reply.m_body = std::move(body);
  }
  return reply;
}

bool IsSuccess(const HttpReply& aReply) {
  return aReply.m_failure == HttpFailure::None && aReply.m_status == kStatusOk;
}

void ReportFailure(const HttpReply& aReply, bool aIsResume, const BackendObserver& aObserver) {
  aObserver.m_failed(FailureOf(aReply, aIsResume), DetailOf(aReply));
}

Result<BackendLoad> ReadLoad(HttpTransport& aTransport, const std::string& aAddress,
                             Duration aTimeout) {
  const HttpRequest request{.m_target = "/load"};
  const nlohmann::json body = TRY(ParseJsonReply(
    aTransport.Call(aAddress, request, {.m_readTimeout = aTimeout, .m_totalTimeout = aTimeout})));
  BackendLoad load;
  try {
    load.m_runningRequests = body.value("running", std::int64_t{0});
    load.m_queued = body.value("queued", std::int64_t{0});
    load.m_queuedTokens = body.value("queued_tokens", std::int64_t{0});
    load.m_tokensPerSecond = body.value("tokens_per_second", 0.0);
    load.m_slots = body.value("slots", std::int64_t{0});
    load.m_versions = body.value("versions", std::vector<std::string>());
    load.m_leaving = body.value("leaving", false);
  } catch (const nlohmann::json::exception& exception) {
    return MakeError(ErrorCode::InvalidField, exception.what());
  }
  return load;
}

} // namespace fennelline

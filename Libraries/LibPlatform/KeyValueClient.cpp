#include "LibPlatform/KeyValueClient.h"

#include "LibPlatform/JsonReply.h"

#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusLimited = 429;
constexpr int kStatusUnavailable = 503;

HttpRequest Encode(const GetKey& aRequest) {
  return {.m_method = "GET", .m_target = "/kv/" + PercentEncode(aRequest.m_key)};
}

HttpRequest Encode(const ListKeys& aRequest) {
  return {.m_method = "GET", .m_target = "/kv?prefix=" + PercentEncode(aRequest.m_prefix)};
}

HttpRequest Encode(const PutKey& aRequest) {
  json body = {{"value", aRequest.m_value}, {"expected_revision", aRequest.m_expected}};
  if (aRequest.m_lease) {
    body["lease"] = *aRequest.m_lease;
  }
  return {.m_method = "PUT",
          .m_target = "/kv/" + PercentEncode(aRequest.m_key),
          .m_body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

HttpRequest Encode(const RemoveKey& aRequest) {
  const std::string revision = std::to_string(aRequest.m_expected);
  return {.m_method = "DELETE",
          .m_target = "/kv/" + PercentEncode(aRequest.m_key) + "?expected_revision=" + revision};
}

HttpRequest Encode(const GrantLease& aRequest) {
  const json body = {{"ttl_ms", aRequest.m_milliseconds}};
  return {.m_method = "POST", .m_target = "/lease", .m_body = body.dump()};
}

HttpRequest Encode(const RenewLease& aRequest) {
  return {.m_method = "POST",
          .m_target = "/lease/" + std::to_string(aRequest.m_lease) + "/renew",
          .m_body = "{}"};
}

HttpRequest Encode(const EndLease& aRequest) {
  return {.m_method = "DELETE", .m_target = "/lease/" + std::to_string(aRequest.m_lease)};
}

HttpRequest Encode(const WatchKeys& aRequest) {
  const std::string target = "/watch?prefix=" + PercentEncode(aRequest.m_prefix) +
                             "&after=" + std::to_string(aRequest.m_after) +
                             "&wait_ms=" + std::to_string(aRequest.m_waitMilliseconds);
  return {.m_method = "GET", .m_target = target};
}

bool IsRead(const PlatformRequest& aRequest) {
  return std::holds_alternative<GetKey>(aRequest) || std::holds_alternative<ListKeys>(aRequest) ||
         std::holds_alternative<WatchKeys>(aRequest);
}

Duration WaitOf(const PlatformRequest& aRequest) {
  const WatchKeys* watch = std::get_if<WatchKeys>(&aRequest);
  return Milliseconds(watch == nullptr ? 0 : watch->m_waitMilliseconds);
}

PlatformStatus StatusOf(const HttpReply& aReply, bool aIsRead) {
  if (aReply.m_failure == HttpFailure::NotSent) {
    return PlatformStatus::Unavailable;
  }
  const PlatformStatus ambiguous = aIsRead ? PlatformStatus::Unavailable : PlatformStatus::Unknown;
  if (aReply.m_failure != HttpFailure::None) {
    return ambiguous;
  }
  switch (aReply.m_status) {
    case kStatusOk:
      return PlatformStatus::Ok;
    case kStatusNotFound:
      return PlatformStatus::NotFound;
    case kStatusConflict:
      return PlatformStatus::Conflict;
    case kStatusTooLarge:
    case kStatusLimited:
    case kStatusUnavailable:
      return PlatformStatus::Unavailable;
    default:
      return ambiguous;
  }
}

KeyValue ParseKeyValue(const json& aObject) {
  return {.m_key = aObject.value("key", std::string()),
          .m_value = aObject.value("value", std::string()),
          .m_revision = aObject.value("revision", Revision{0})};
}

void ReadBody(const json& aBody, PlatformReply& aReply) {
  aReply.m_revision = aBody.value("revision", Revision{0});
  aReply.m_lease = aBody.value("lease", std::uint64_t{0});
  if (aBody.contains("key")) {
    aReply.m_keys.push_back(ParseKeyValue(aBody));
  }
  if (aBody.contains("current") && aBody["current"].is_object()) {
    aReply.m_keys.push_back(ParseKeyValue(aBody["current"]));
  }
  if (!aBody.contains("keys")) {
    return;
  }
  for (const json& key : aBody["keys"]) {
    aReply.m_keys.push_back(ParseKeyValue(key));
  }
}

} // namespace

KeyValueClient::KeyValueClient(HttpTransport& aTransport, std::string aAddress, Duration aTimeout)
  : m_transport(aTransport)
  , m_address(std::move(aAddress))
  , m_timeout(aTimeout) {}

PlatformReply KeyValueClient::Call(const CallId& aCall, const PlatformRequest& aRequest) {
  const HttpRequest request =
    std::visit([](const auto& aAlternative) { return Encode(aAlternative); }, aRequest);
  const Duration limit = m_timeout + WaitOf(aRequest);
  const HttpReply http =
    m_transport.Call(m_address, request, {.m_readTimeout = limit, .m_totalTimeout = limit});
  PlatformReply reply;
  reply.m_call = aCall;
  reply.m_status = StatusOf(http, IsRead(aRequest));
  const bool isComplete = http.m_failure == HttpFailure::None;
  if (!isComplete) {
    return reply;
  }
  try {
    ReadBody(JsonOrEmpty(http.m_body), reply);
  } catch (const json::exception&) {
    // The reply is malformed, so it is unknown whether the service applied the request.
    reply.m_status = IsRead(aRequest) ? PlatformStatus::Unavailable : PlatformStatus::Unknown;
    reply.m_keys.clear();
  }
  return reply;
}

} // namespace fennelline

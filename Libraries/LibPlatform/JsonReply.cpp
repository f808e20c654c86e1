#include "LibPlatform/JsonReply.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusPreconditionFailed = 412;

ErrorCode CodeOf(int aStatus) {
  switch (aStatus) {
    case kStatusNotFound:
      return ErrorCode::NotFound;
    case kStatusPreconditionFailed:
      return ErrorCode::Conflict;
    default:
      return ErrorCode::Unavailable;
  }
}

} // namespace

nlohmann::json JsonOrEmpty(const std::string& aBody) {
  nlohmann::json value = nlohmann::json::parse(aBody, nullptr, false);
  if (!value.is_object()) {
    return nlohmann::json::object();
  }
  return value;
}

Result<nlohmann::json> ParseJsonReply(const HttpReply& aReply) {
  switch (aReply.m_failure) {
    case HttpFailure::None:
      break;
    case HttpFailure::NotSent:
      return MakeError(ErrorCode::Unavailable, "no connection");
    case HttpFailure::Lost:
    case HttpFailure::Cancelled:
      return MakeError(ErrorCode::TimedOut, "no whole reply");
  }
  if (aReply.m_status != kStatusOk) {
    const std::string status = "status " + std::to_string(aReply.m_status);
    return MakeError(CodeOf(aReply.m_status), status + ": " + aReply.m_body);
  }
  nlohmann::json value = nlohmann::json::parse(aReply.m_body, nullptr, false);
  if (!value.is_object()) {
    return MakeError(ErrorCode::InvalidJson, "the reply is no JSON object");
  }
  return value;
}

} // namespace fennelline

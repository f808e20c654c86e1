#include "Services/Entry/Shell/ReadCallerRequest.h"

#include "LibBase/Sha256.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr std::int64_t kMaxOutputTokens = 1'000'000;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::string_view kBearer = "Bearer ";

Error Malformed(const std::string& aDetail) {
  return MakeError(ErrorCode::InvalidField, aDetail);
}

Result<std::string> ReadPrompt(const json& aBody) {
  if (!aBody.contains("messages") || !aBody["messages"].is_array() || aBody["messages"].empty()) {
    return Malformed("messages: must be an array of at least one message");
  }
  std::string prompt;
  for (const json& message : aBody["messages"]) {
    const bool valid =
      message.is_object() && message.contains("content") && message["content"].is_string();
    if (!valid) {
      return Malformed("messages: each must be an object with a string \"content\"");
    }
    prompt += (prompt.empty() ? "" : "\n") + message["content"].get<std::string>();
  }
  return prompt;
}

} // namespace

Result<void> ReadChatBody(CallerRequest& aRequest) {
  const json body = json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object()) {
    return Malformed("the body must be a JSON object");
  }
  aRequest.m_prompt = TRY(ReadPrompt(body));
  if (body.contains("model") && !body["model"].is_string()) {
    return Malformed("model: must be a string");
  }
  aRequest.m_model = body.value("model", std::string());
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return Malformed("stream: must be true or false");
  }
  aRequest.m_stream = body.value("stream", false);
  aRequest.m_mostOutputTokens = kDefaultMaxOutputTokens;
  if (body.contains("max_tokens")) {
    const json& most = body["max_tokens"];
    const bool valid = most.is_number_integer() && most.get<std::int64_t>() >= 1 &&
                       most.get<std::int64_t>() <= kMaxOutputTokens;
    if (!valid) {
      return Malformed("max_tokens: must be a whole number from 1 to 1000000");
    }
    aRequest.m_mostOutputTokens = most.get<std::int64_t>();
  }
  return {};
}

Result<void> ReadServiceBody(const CallerRequest& aRequest) {
  if (!aRequest.m_body.empty() && !json::accept(aRequest.m_body)) {
    return Malformed("the body must be JSON");
  }
  return {};
}

std::string KeyHashOf(const std::string& aAuthorization) {
  if (!aAuthorization.starts_with(kBearer)) {
    return {};
  }
  return Sha256Hex(aAuthorization.substr(kBearer.size()));
}

Result<std::int64_t> ReadDeadline(const std::string& aText) {
  if (aText.empty()) {
    return std::int64_t{0};
  }
  std::int64_t value = 0;
  const std::from_chars_result read =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool valid = read.ec == std::errc() && read.ptr == aText.data() + aText.size() &&
                     value >= 1 && value <= kMaxDeadlineMs;
  if (!valid) {
    return Malformed("Fennelline-Deadline-Ms: must be a whole number from 1 to 600000");
  }
  return value;
}

} // namespace fennelline

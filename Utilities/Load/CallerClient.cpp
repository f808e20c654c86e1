#include "Utilities/Load/CallerClient.h"

#include "LibPlatform/JsonReply.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>

namespace fennelline {

namespace {

constexpr int kOk = 200;
constexpr int kDecimal = 10;
constexpr std::string_view kCostComment = ": fennelline-cost-micros ";
constexpr std::string_view kStreamEnd = "data: [DONE]";
constexpr std::string_view kErrorEvent = "event: error";

std::int64_t NumberAt(const std::string& aText, std::size_t aPosition) {
  return std::strtoll(aText.c_str() + aPosition, nullptr, kDecimal);
}

/// Reads the cost, which is in a header of a complete response and in a comment near the end of a
/// stream.
std::int64_t CostOf(const HttpReply& aReply, const std::string& aBody) {
  const std::string header = FindHeader(aReply, "Fennelline-Cost-Micros");
  if (!header.empty()) {
    return NumberAt(header, 0);
  }
  const std::size_t comment = aBody.find(kCostComment);
  return comment == std::string::npos ? 0 : NumberAt(aBody, comment + kCostComment.size());
}

bool IsStream(const HttpReply& aReply) {
  return aReply.m_contentType.starts_with("text/event-stream");
}

void ReadFailure(const HttpReply& aReply, CallerAnswer& aAnswer) {
  if (aReply.m_failure != HttpFailure::None) {
    aAnswer.m_code = aReply.m_failure == HttpFailure::NotSent ? "not-sent" : "no-whole-answer";
    return;
  }
  aAnswer.m_outcome = CallOutcome::Refused;
  const nlohmann::json problem = JsonOrEmpty(aReply.m_body);
  aAnswer.m_code = problem.contains("code") && problem["code"].is_string()
                     ? problem["code"].get<std::string>()
                     : "status-" + std::to_string(aReply.m_status);
}

} // namespace

CallerAnswer CallEntry(HttpTransport& aTransport, const CallerCall& aCall,
                       const std::function<Time()>& aNow) {
  const HttpRequest request{.m_method = "POST",
                            .m_target = aCall.m_path,
                            .m_headers = aCall.m_headers,
                            .m_body = aCall.m_body};
  CallerAnswer answer;
  std::string body;
  HttpReceiver receiver;
  receiver.m_head = [](const HttpReply&) { return true; };
  receiver.m_bytes = [&](const char* aBytes, std::size_t aCount) {
    body.append(aBytes, aCount);
    // Comments may precede the first text.
    if (answer.m_firstToken == kNever && body.find('{') != std::string::npos) {
      answer.m_firstToken = aNow();
    }
    return true;
  };
  HttpCancel neverCancelled;
  const HttpLimits limits{.m_readTimeout = aCall.m_timeout, .m_totalTimeout = aCall.m_timeout};
  const HttpReply reply =
    aTransport.CallStreamed(aCall.m_address, request, limits, receiver, neverCancelled);
  answer.m_status = reply.m_status;
  answer.m_version = FindHeader(reply, "Fennelline-Version");
  answer.m_costMicros = CostOf(reply, body);
  if (reply.m_failure != HttpFailure::None || reply.m_status != kOk) {
    ReadFailure(reply, answer);
    return answer;
  }
  const bool isComplete = !IsStream(reply) || (body.find(kStreamEnd) != std::string::npos &&
                                               body.find(kErrorEvent) == std::string::npos);
  answer.m_outcome = isComplete ? CallOutcome::Answered : CallOutcome::Failed;
  answer.m_code = isComplete ? "" : "stream-cut";
  return answer;
}

} // namespace fennelline

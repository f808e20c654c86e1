#include "LibPlatform/RatingClient.h"

#include "LibPlatform/JsonReply.h"

#include <nlohmann/json.hpp>

namespace fennelline {

RatingClient::RatingClient(HttpTransport& aTransport, std::string aAddress, Duration aTimeout)
  : m_transport(aTransport)
  , m_address(std::move(aAddress))
  , m_timeout(aTimeout) {}

Result<bool> RatingClient::RequestRating(const RatingRequest& aRequest) {
  const nlohmann::json body = {{"kind", aRequest.m_kind},
                               {"version", aRequest.m_version},
                               {"prompt", aRequest.m_prompt},
                               {"answer", aRequest.m_answer}};
  const HttpRequest request{.m_method = "POST",
                            .m_target = "/ratings",
                            .m_body =
                              body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
  const nlohmann::json reply = TRY(ParseJsonReply(m_transport.Call(
    m_address, request, {.m_readTimeout = m_timeout, .m_totalTimeout = m_timeout})));
  if (!reply.contains("good") || !reply["good"].is_boolean()) {
    return MakeError(ErrorCode::InvalidField, "good: must be true or false");
  }
  return reply["good"].get<bool>();
}

} // namespace fennelline

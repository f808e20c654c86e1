#include "LibPlatform/WeightStoreClient.h"

#include "LibPlatform/JsonReply.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

constexpr int kStatusLimited = 429;

} // namespace

WeightStoreClient::WeightStoreClient(HttpTransport& aTransport, std::string aAddress,
                                     Duration aTimeout)
  : m_transport(aTransport)
  , m_address(std::move(aAddress))
  , m_timeout(aTimeout) {}

Result<void> WeightStoreClient::Fetch(const std::string& aVersion) {
  const HttpRequest request{.m_target = "/weights/" + PercentEncode(aVersion)};
  const HttpReply reply =
    m_transport.Call(m_address, request, {.m_readTimeout = m_timeout, .m_totalTimeout = m_timeout});
  if (reply.m_failure == HttpFailure::None && reply.m_status == kStatusLimited) {
    return MakeError(ErrorCode::LimitExceeded, "too many loads wait");
  }
  TRY(ParseJsonReply(reply));
  return {};
}

} // namespace fennelline

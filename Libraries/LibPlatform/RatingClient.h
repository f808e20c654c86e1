#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibPlatform/HttpTransport.h"

#include <concepts>
#include <string>

namespace fennelline {

struct RatingRequest {
  std::string m_kind;
  std::string m_version;
  std::string m_prompt;
  std::string m_answer;
};

template<typename Client>
concept IsRatingClient = requires(Client aClient, const RatingRequest& aRequest) {
  { aClient.RequestRating(aRequest) } -> std::same_as<Result<bool>>;
};

/// An HTTP client for the platform's rating service. Calls block until the rating is available.
class RatingClient {
public:
  RatingClient(HttpTransport& aTransport, std::string aAddress, Duration aTimeout);

  /// Returns whether the answer is rated as good.
  Result<bool> RequestRating(const RatingRequest& aRequest);

private:
  HttpTransport& m_transport;
  std::string m_address;
  Duration m_timeout;
};

static_assert(IsRatingClient<RatingClient>);

} // namespace fennelline

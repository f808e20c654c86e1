#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibPlatform/HttpTransport.h"

#include <concepts>
#include <string>

namespace fennelline {

template<typename Client>
concept IsWeightStoreClient = requires(Client aClient, const std::string& aVersion) {
  { aClient.Fetch(aVersion) } -> std::same_as<Result<void>>;
};

/// An HTTP client for the platform's rate-limited weight store.
class WeightStoreClient {
public:
  WeightStoreClient(HttpTransport& aTransport, std::string aAddress, Duration aTimeout);

  /// Returns once the weights have been sent. Fails with LimitExceeded if too many loads are
  /// pending.
  Result<void> Fetch(const std::string& aVersion);

private:
  HttpTransport& m_transport;
  std::string m_address;
  Duration m_timeout;
};

static_assert(IsWeightStoreClient<WeightStoreClient>);

} // namespace fennelline

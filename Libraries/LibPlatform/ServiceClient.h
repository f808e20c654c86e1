#pragma once

#include "LibBase/Error.h"
#include "LibPlatform/BackendCall.h"
#include "LibPlatform/HttpTransport.h"

#include <concepts>

namespace fennelline {

template<typename Client>
concept IsServiceClient = requires(Client aClient, const BackendRequest& aRequest,
                                   const BackendObserver& aObserver, HttpCancel& aCancel,
                                   const std::string& aAddress) {
  aClient.Call(aRequest, aObserver, aCancel);
  { aClient.Load(aAddress) } -> std::same_as<Result<BackendLoad>>;
};

/// An HTTP client for plain services. Calls block and may be made from several threads.
class ServiceClient {
public:
  ServiceClient(HttpTransport& aTransport, Duration aTimeout);

  void Call(const BackendRequest& aRequest, const BackendObserver& aObserver, HttpCancel& aCancel);
  Result<BackendLoad> Load(const std::string& aAddress);

private:
  HttpTransport& m_transport;
  Duration m_timeout;
};

static_assert(IsServiceClient<ServiceClient>);

} // namespace fennelline

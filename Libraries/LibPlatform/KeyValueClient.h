#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/PlatformCall.h"
#include "LibPlatform/HttpTransport.h"

#include <concepts>
#include <string>

namespace fennelline {

/// The interface of a client of the platform's key-value service.
template<typename Client>
concept IsKeyValueClient = requires(Client aClient, const CallId& aCall,
                                    const PlatformRequest& aRequest) {
  { aClient.Call(aCall, aRequest) } -> std::same_as<PlatformReply>;
};

/// An HTTP client for the platform's key-value service. Calls block and may be made from several
/// threads.
class KeyValueClient {
public:
  KeyValueClient(HttpTransport& aTransport, std::string aAddress, Duration aTimeout);

  /// Returns Unavailable if the request cannot have been applied, and Unknown for a write without a
  /// complete reply.
  PlatformReply Call(const CallId& aCall, const PlatformRequest& aRequest);

private:
  HttpTransport& m_transport;
  std::string m_address;
  Duration m_timeout;
};

static_assert(IsKeyValueClient<KeyValueClient>);

} // namespace fennelline

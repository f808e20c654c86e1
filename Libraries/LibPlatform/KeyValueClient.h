#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/PlatformCall.h"
#include "LibPlatform/HttpTransport.h"

#include <concepts>
#include <string>

namespace fennelline {

/// What a client of the platform's key-value service offers.
template<typename Client>
concept IsKeyValueClient = requires(Client aClient, const CallId& aCall,
                                    const PlatformRequest& aRequest) {
  { aClient.Call(aCall, aRequest) } -> std::same_as<PlatformReply>;
};

/// The platform's key-value service over HTTP. Calls block and may come from several threads.
class KeyValueClient {
public:
  KeyValueClient(HttpTransport& aTransport, std::string aAddress, Duration aTimeout);

  /// Unavailable means that nothing can have been done; a write without a whole reply is Unknown.
  PlatformReply Call(const CallId& aCall, const PlatformRequest& aRequest);

private:
  HttpTransport& m_transport;
  std::string m_address;
  Duration m_timeout;
};

static_assert(IsKeyValueClient<KeyValueClient>);

} // namespace fennelline

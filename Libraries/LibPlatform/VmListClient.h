#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibPlatform/HttpTransport.h"

#include <concepts>
#include <string>
#include <vector>

namespace fennelline {

/// A VM in the platform's list. The list may be stale.
struct PlatformVm {
  std::string m_name;
  /// "IP:PORT".
  std::string m_address;
  std::string m_dataCentre;
  /// "entry", "model" or "service:NAME".
  std::string m_role;
  bool m_leaving = false;
};

template<typename Client>
concept IsVmListClient = requires(Client aClient) {
  { aClient.List() } -> std::same_as<Result<std::vector<PlatformVm>>>;
};

/// An HTTP client for the platform's list of live and leaving VMs.
class VmListClient {
public:
  VmListClient(HttpTransport& aTransport, std::string aAddress, Duration aTimeout);

  Result<std::vector<PlatformVm>> List();

private:
  HttpTransport& m_transport;
  std::string m_address;
  Duration m_timeout;
};

static_assert(IsVmListClient<VmListClient>);

} // namespace fennelline

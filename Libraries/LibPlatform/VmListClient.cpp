#include "LibPlatform/VmListClient.h"

#include "LibPlatform/JsonReply.h"

#include <nlohmann/json.hpp>

namespace fennelline {

namespace {

PlatformVm ParseVm(const nlohmann::json& aObject) {
  return {.m_name = aObject.value("name", std::string()),
          .m_address = aObject.value("address", std::string()),
          .m_dataCentre = aObject.value("data_centre", std::string()),
          .m_role = aObject.value("role", std::string()),
          .m_leaving = aObject.value("state", std::string()) == "leaving"};
}

} // namespace

VmListClient::VmListClient(HttpTransport& aTransport, std::string aAddress, Duration aTimeout)
  : m_transport(aTransport)
  , m_address(std::move(aAddress))
  , m_timeout(aTimeout) {}

Result<std::vector<PlatformVm>> VmListClient::List() {
  const HttpRequest request{.m_target = "/vms"};
  const nlohmann::json body = TRY(ParseJsonReply(m_transport.Call(
    m_address, request, {.m_readTimeout = m_timeout, .m_totalTimeout = m_timeout})));
  if (!body.contains("vms") || !body["vms"].is_array()) {
    return MakeError(ErrorCode::InvalidField, "vms: must be an array");
  }
  std::vector<PlatformVm> vms;
  try {
    for (const nlohmann::json& vm : body["vms"]) {
      vms.push_back(ParseVm(vm));
    }
  } catch (const nlohmann::json::exception& exception) {
    return MakeError(ErrorCode::InvalidField, exception.what());
  }
  return vms;
}

} // namespace fennelline

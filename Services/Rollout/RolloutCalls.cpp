#include "Services/Rollout/RolloutCalls.h"

#include "LibPlatform/JsonReply.h"

#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

namespace {

constexpr Duration kCallTimeout = Seconds(2);

VersionEvidence EvidenceOf(const json& aRow) {
  VersionEvidence evidence;
  evidence.m_version = aRow.value("version", "");
  evidence.m_kind = aRow.value("kind", "");
  evidence.m_requests = aRow.value("requests", std::int64_t{0});
  evidence.m_errors = aRow.value("errors", std::int64_t{0});
  evidence.m_sessions = aRow.value("sessions", std::int64_t{0});
  evidence.m_badSessions = aRow.value("bad_sessions", std::int64_t{0});
  return evidence;
}

} // namespace

RolloutCalls::RolloutCalls(const RolloutProgramSettings& aSettings)
  : m_settings(aSettings)
  , m_keyValue(m_transport, aSettings.m_platformAddress, kCallTimeout)
  , m_vmList(m_transport, aSettings.m_platformAddress, kCallTimeout)
  , m_engines(m_transport, kCallTimeout) {}

PlatformReply RolloutCalls::CallPlatformService(const CallPlatform& aCall) {
  return m_keyValue.Call(aCall.m_call, aCall.m_request);
}

OrderResult RolloutCalls::Order(const SendEngineOrder& aOrder) {
  const EngineOrder order =
    aOrder.m_order == EngineOrderKind::Load ? EngineOrder::Load : EngineOrder::Unload;
  Result<std::vector<std::string>> versions =
    m_engines.Order(aOrder.m_address, order, aOrder.m_version, aOrder.m_fence);
  if (!versions.IsError()) {
    return {OrderAnswer::Done, {versions.Get().begin(), versions.Get().end()}};
  }
  const std::error_code code = versions.GetError().m_code;
  if (code == ErrorCode::Conflict) {
    return {OrderAnswer::StaleFence, {}};
  }
  return {code == ErrorCode::Unavailable ? OrderAnswer::Refused : OrderAnswer::Lost, {}};
}

Result<std::set<std::string>> RolloutCalls::ReadVersions(const std::string& aEngineAddress) {
  const BackendLoad load = TRY(m_engines.Load(aEngineAddress));
  return std::set<std::string>(load.m_versions.begin(), load.m_versions.end());
}

Result<EntryEvidence> RolloutCalls::ReadEvidence(const std::string& aAdminAddress) {
  const json body = JsonOrEmpty(TRY(GetFromEntry(aAdminAddress, "/admin/evidence")));
  EntryEvidence evidence;
  try {
    evidence.m_entry = body.value("entry", "");
    for (const json& row : body.value("evidence", json::array())) {
      evidence.m_evidence.push_back(EvidenceOf(row));
    }
  } catch (const json::exception& exception) {
    return MakeError(ErrorCode::InvalidMessage, exception.what());
  }
  if (evidence.m_entry.empty()) {
    return MakeError(ErrorCode::InvalidMessage, "the evidence response has no entry name");
  }
  return evidence;
}

Result<std::vector<std::string>> RolloutCalls::ListEntries() {
  const json body = JsonOrEmpty(TRY(GetFromEntry(m_settings.m_entryAdminAddress, "/admin/status")));
  std::vector<std::string> addresses;
  try {
    for (const json& member : body.value("members", json::array())) {
      addresses.push_back(member.value("admin_address", ""));
    }
  } catch (const json::exception& exception) {
    return MakeError(ErrorCode::InvalidMessage, exception.what());
  }
  std::erase(addresses, "");
  return addresses;
}

Result<std::vector<EngineVm>> RolloutCalls::ListEngines() {
  const std::vector<PlatformVm> vms = TRY(m_vmList.List());
  std::vector<EngineVm> engines;
  for (const PlatformVm& vm : vms) {
    if (vm.m_role == "model" && !vm.m_leaving) {
      engines.push_back({vm.m_name, vm.m_address});
    }
  }
  return engines;
}

Result<std::string> RolloutCalls::GetFromEntry(const std::string& aAdminAddress,
                                               const std::string& aPath) {
  HttpRequest request;
  request.m_target = aPath;
  request.m_headers = {{"Authorization", "Bearer " + m_settings.m_sharedSecrets.front()}};
  const HttpReply reply = m_transport.Call(
    aAdminAddress, request, {.m_readTimeout = kCallTimeout, .m_totalTimeout = kCallTimeout});
  constexpr int kOk = 200;
  if (reply.m_failure != HttpFailure::None || reply.m_status != kOk) {
    return MakeError(ErrorCode::Unavailable,
                     aAdminAddress + aPath + " did not return a successful response");
  }
  return reply.m_body;
}

} // namespace fennelline

#pragma once

#include "LibBase/Error.h"
#include "LibCoordination/Rollout/RolloutController.h"
#include "LibPlatform/EngineClient.h"
#include "LibPlatform/HttpTransport.h"
#include "LibPlatform/KeyValueClient.h"
#include "LibPlatform/VmListClient.h"
#include "Services/Rollout/RolloutProgramSettings.h"

#include <set>
#include <string>
#include <vector>

namespace fennelline {

/// What an engine made of an order.
struct OrderResult {
  OrderAnswer m_answer = OrderAnswer::Lost;
  std::set<std::string> m_versions;
};

/// One entry's counts.
struct EntryEvidence {
  EntryId m_entry;
  std::vector<VersionEvidence> m_evidence;
};

/// The blocking calls of the roll-out program. They may come from several threads.
class RolloutCalls {
public:
  explicit RolloutCalls(const RolloutProgramSettings& aSettings);

  PlatformReply CallPlatformService(const CallPlatform& aCall);
  OrderResult Order(const OrderEngine& aOrder);
  Result<std::set<std::string>> ReadVersions(const std::string& aEngineAddress);
  Result<EntryEvidence> ReadEvidence(const std::string& aAdminAddress);
  /// The admin addresses of the live entries, as this VM's entry knows them.
  Result<std::vector<std::string>> ListEntries();
  Result<std::vector<EngineVm>> ListEngines();

private:
  Result<std::string> GetFromEntry(const std::string& aAdminAddress, const std::string& aPath);

  const RolloutProgramSettings& m_settings;
  HttpTransport m_transport;
  KeyValueClient m_keyValue;
  VmListClient m_vmList;
  EngineClient m_engines;
};

} // namespace fennelline

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

/// The outcome of an order sent to an engine, with the versions the engine then has loaded.
struct OrderResult {
  OrderAnswer m_answer = OrderAnswer::Lost;
  std::set<std::string> m_versions;
};

/// The evidence counts reported by one entry.
struct EntryEvidence {
  EntryId m_entry;
  std::vector<VersionEvidence> m_evidence;
};

/// The blocking calls of the roll-out process. Thread-safe.
class RolloutCalls {
public:
  explicit RolloutCalls(const RolloutProgramSettings& aSettings);

  PlatformReply CallPlatformService(const CallPlatform& aCall);
  OrderResult Order(const SendEngineOrder& aOrder);
  Result<std::set<std::string>> ReadVersions(const std::string& aEngineAddress);
  Result<EntryEvidence> ReadEvidence(const std::string& aAdminAddress);
  /// The admin addresses of the live entries, according to the entry on this VM.
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

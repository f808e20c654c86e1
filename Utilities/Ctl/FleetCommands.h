#pragma once

#include "LibBase/Time.h"
#include "Utilities/Ctl/AdminClient.h"
#include "Utilities/Ctl/CommandOutput.h"
#include "Utilities/Ctl/ExitCode.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// The commands that ask the entries.
class FleetCommands {
public:
  FleetCommands(AdminClient& aClient, std::vector<std::string> aAddresses, CommandOutput& aOutput);

  ExitCode Status();
  /// Waits until each entry has the revision or a later one in force. Fails when one does not, or
  /// cannot be asked.
  ExitCode InForce(std::uint64_t aRevision, Duration aWait);
  /// Prints the records of a request from all entries, in the order of cause and effect.
  ExitCode Explain(const std::string& aRequest);

private:
  AdminClient& m_client;
  std::vector<std::string> m_addresses;
  CommandOutput& m_output;
};

/// Reads "3s" or "500ms".
Result<Duration> ParseWait(const std::string& aText);

} // namespace fennelline

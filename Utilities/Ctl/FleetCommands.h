#pragma once

#include "LibBase/Time.h"
#include "Utilities/Ctl/AdminClient.h"
#include "Utilities/Ctl/CommandOutput.h"
#include "Utilities/Ctl/ExitCode.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// Commands that query the entries through their admin ports.
class FleetCommands {
public:
  FleetCommands(AdminClient& aClient, std::vector<std::string> aAddresses, CommandOutput& aOutput);

  ExitCode Status();
  /// Waits until each entry applies the revision or a later one. Fails if at least one entry does
  /// not, or cannot be reached.
  ExitCode InForce(std::uint64_t aRevision, Duration aWait);
  /// Prints the timeline records of a request from all entries, in causal order.
  ExitCode Explain(const std::string& aRequest);

private:
  AdminClient& m_client;
  std::vector<std::string> m_addresses;
  CommandOutput& m_output;
};

/// Parses a duration such as "3s" or "500ms".
Result<Duration> ParseWait(const std::string& aText);

} // namespace fennelline

#pragma once

#include "LibBase/Error.h"
#include "LibContract/Configuration.h"

#include <string>
#include <vector>

namespace fennelline {

/// Parameters of "rollout start".
struct RolloutRequest {
  std::string m_name;
  std::string m_from;
  std::string m_to;
  std::vector<double> m_stepPercents;
};

// Changes to a configuration. After an error the configuration may be partly changed and must be
// discarded.

Result<void> StartRollout(Configuration& aConfiguration, const RolloutRequest& aRequest);
Result<void> PauseRollout(Configuration& aConfiguration, const std::string& aName);
Result<void> ResumeRollout(Configuration& aConfiguration, const std::string& aName);

/// Drains or revokes a version and rolls back an active roll-out to it.
Result<void> WithdrawVersion(Configuration& aConfiguration, const std::string& aVersion,
                             VersionState aState);

/// Parses a list such as "1,5,25,100".
Result<std::vector<double>> ParsePercents(const std::string& aText);

} // namespace fennelline

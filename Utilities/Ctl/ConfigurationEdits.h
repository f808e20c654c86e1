#pragma once

#include "LibBase/Error.h"
#include "LibContract/Configuration.h"

#include <string>
#include <vector>

namespace fennelline {

/// A roll-out as an operator asks for it.
struct RolloutRequest {
  std::string m_name;
  std::string m_from;
  std::string m_to;
  std::vector<double> m_stepPercents;
};

// Changes of a configuration. Errors name what is wrong; the configuration is then of no use.

Result<void> StartRollout(Configuration& aConfiguration, const RolloutRequest& aRequest);
Result<void> PauseRollout(Configuration& aConfiguration, const std::string& aName);
Result<void> ResumeRollout(Configuration& aConfiguration, const std::string& aName);

/// Drains or revokes a version. An active roll-out to it is rolled back.
Result<void> WithdrawVersion(Configuration& aConfiguration, const std::string& aVersion,
                             VersionState aState);

/// Reads "1,5,25,100".
Result<std::vector<double>> ParsePercents(const std::string& aText);

} // namespace fennelline

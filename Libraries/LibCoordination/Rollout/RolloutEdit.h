#pragma once

#include "LibContract/Configuration.h"

#include <optional>
#include <string>

namespace fennelline {

/// Returns the configuration with the rollout at its next step, or done after the last one. Empty
/// if the rollout is not running.
std::optional<Configuration> AdvanceRollout(Configuration aConfiguration, const std::string& aName);

/// Returns the configuration with the rollout rolled back: its new version is revoked and its old
/// one receives all work again. Empty if the rollout does not exist or is already rolled back, or
/// if there is no old version to return to.
std::optional<Configuration> WithdrawRollout(Configuration aConfiguration, const std::string& aName,
                                             const std::string& aReason);

} // namespace fennelline

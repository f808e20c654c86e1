#pragma once

#include "LibContract/Configuration.h"

#include <optional>
#include <string>

namespace fennelline {

/// The configuration with the roll-out at its next step, or done after the last one. Empty where
/// the roll-out is not running.
std::optional<Configuration> AdvanceRollout(Configuration aConfiguration, const std::string& aName);

/// The configuration with the roll-out rolled back: its new version is revoked and its old one
/// takes all work again. Empty where the roll-out is neither running, paused nor done, or where
/// there is no old version to go back to.
std::optional<Configuration> WithdrawRollout(Configuration aConfiguration, const std::string& aName,
                                             const std::string& aReason);

} // namespace fennelline

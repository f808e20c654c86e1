#pragma once

#include "LibCoordination/Rollout/RolloutController.h"

#include <string>

namespace fennelline {

/// The response body of GET /admin/status.
std::string WriteRolloutStatus(const RolloutController& aController, Time aNow);

/// The response body of GET /metrics, in the Prometheus text format.
std::string WriteRolloutMetrics(const RolloutController& aController, Time aNow);

} // namespace fennelline

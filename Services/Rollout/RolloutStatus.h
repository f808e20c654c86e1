#pragma once

#include "LibCoordination/Rollout/RolloutController.h"

#include <string>

namespace fennelline {

/// What GET /admin/status answers.
std::string WriteRolloutStatus(const RolloutController& aController, Time aNow);

/// What GET /metrics answers, in the text format of Prometheus.
std::string WriteRolloutMetrics(const RolloutController& aController, Time aNow);

} // namespace fennelline

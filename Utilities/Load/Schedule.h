#pragma once

#include "Utilities/Load/Experiment.h"

#include <vector>

namespace fennelline {

/// One request to send.
struct PlannedRequest {
  /// Since the start of the run.
  Duration m_at{0};
  std::size_t m_customer = 0;
  std::size_t m_kind = 0;
  /// Unique within the experiment's seed and name.
  std::string m_key;
  std::string m_body;
};

/// The requests of a run in the order of sending: Poisson arrivals and choices by weight, all from
/// the experiment's seed.
std::vector<PlannedRequest> MakeSchedule(const Experiment& aExperiment);

} // namespace fennelline

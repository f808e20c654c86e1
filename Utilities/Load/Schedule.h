#pragma once

#include "Utilities/Load/Experiment.h"

#include <vector>

namespace fennelline {

/// One scheduled request.
struct PlannedRequest {
  /// Time since the start of the run.
  Duration m_at{0};
  std::size_t m_customer = 0;
  std::size_t m_kind = 0;
  /// Unique within the experiment's seed and name.
  std::string m_key;
  std::string m_body;
};

/// Generates the requests of a run in sending order: Poisson arrivals with customers and kinds
/// chosen by weight, all derived from the experiment's seed.
std::vector<PlannedRequest> MakeSchedule(const Experiment& aExperiment);

} // namespace fennelline

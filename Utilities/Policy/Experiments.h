#pragma once

#include "Utilities/Policy/Report.h"
#include "Utilities/Policy/RoutingSettings.h"

#include <cstdint>
#include <functional>

namespace fennelline {

struct ExperimentOptions {
  std::uint64_t m_firstSeed = 1;
  std::size_t m_seeds = 20;
  int m_threads = 3;
};

/// Calls aRun for each seed, on several threads. aRun must write to its own place only.
void ForEachSeed(const ExperimentOptions& aOptions,
                 const std::function<void(std::size_t aIndex, std::uint64_t aSeed)>& aRun);

/// Requests a second that the engines of a run finish when their queues are never empty, with
/// least outstanding as the choice. "Load 80%" is 0.8 of it.
double CapacityOf(const RoutingSettings& aSettings);

/// Replica choice at 80% load: latency of stock checks, time to first token, against baselines.
Report RunReplicas(const ExperimentOptions& aOptions);
/// Answers in time at 1, 1.5 and 3 times capacity, extra attempts, callers' tries.
Report RunOverload(const ExperimentOptions& aOptions);
/// A small account's answers in time while a large one sends ten times its share.
Report RunFairness(const ExperimentOptions& aOptions);
/// Cost and quality of the plans against an all-knowing planner and baselines.
Report RunPlans(const ExperimentOptions& aOptions);
/// Requests exposed to a bad version, false withdrawals, and a version that turns bad later.
Report RunExposure(const ExperimentOptions& aOptions);
/// Processor time and allocations of one decision at three sizes of the fleet.
Report RunDecisionCost(const ExperimentOptions& aOptions);

} // namespace fennelline

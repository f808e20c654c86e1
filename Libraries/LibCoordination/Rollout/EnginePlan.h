#pragma once

#include "LibContract/Configuration.h"
#include "LibCoordination/Identity.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace fennelline {

/// An engine and the versions that it has loaded, as last read.
struct EngineLoad {
  BackendServerId m_engine;
  std::set<std::string> m_versions;

  friend bool operator==(const EngineLoad&, const EngineLoad&) = default;
};

/// What each engine should have loaded by the configuration alone, given what it has. Planning
/// again on the result changes nothing, so whoever holds the lease goes on where another stopped:
///  - a version that is revoked or no longer in the configuration is unloaded;
///  - a running roll-out has its new version on enough engines for the step after the present one;
///  - after a roll-out that is done, each engine of the model has the new version;
///  - after one that is rolled back, each engine of the model has the old version.
/// Versions are never unloaded to make room.
/// FIXME: Engines with too little memory for both versions need a plan that unloads first.
std::vector<EngineLoad> PlanEngines(const Configuration& aConfiguration,
                                    std::vector<EngineLoad> aEngines);

/// How many of aEngines engines the new version needs before the roll-out may go to its next step.
std::size_t EnginesNeeded(const Rollout& aRollout, std::size_t aEngines);

/// Whether the engines are ready for the roll-out's next step.
bool IsReadyToAdvance(const Rollout& aRollout, const std::vector<EngineLoad>& aEngines);

} // namespace fennelline

#pragma once

#include "LibContract/Configuration.h"
#include "LibCoordination/Identity.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace fennelline {

/// An engine and its loaded versions, as last read.
struct EngineLoad {
  BackendServerId m_engine;
  std::set<std::string> m_versions;

  friend bool operator==(const EngineLoad&, const EngineLoad&) = default;
};

/// Computes what each engine should have loaded, from the configuration and what it has. Planning
/// is idempotent, so a new lease holder continues where the previous one stopped:
///  - a version that is revoked or no longer in the configuration is unloaded;
///  - a running rollout has its new version on enough engines for its next step;
///  - after a completed rollout, each engine of the model has the new version;
///  - after a rolled back one, each engine of the model has the old version.
/// Versions are never unloaded to make room.
/// FIXME: Engines with too little memory for both versions need a plan that unloads first.
std::vector<EngineLoad> PlanEngines(const Configuration& aConfiguration,
                                    std::vector<EngineLoad> aEngines);

/// The number of engines, out of aEngines, that need the new version before the rollout may advance
/// to its next step.
std::size_t EnginesNeeded(const Rollout& aRollout, std::size_t aEngines);

/// Whether the engines are ready for the next step of the rollout.
bool IsReadyToAdvance(const Rollout& aRollout, const std::vector<EngineLoad>& aEngines);

} // namespace fennelline

#include "LibCoordination/Rollout/EnginePlan.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

namespace {

bool HasEither(const EngineLoad& aEngine, const Rollout& aRollout) {
  return aEngine.m_versions.contains(aRollout.m_from) || aEngine.m_versions.contains(aRollout.m_to);
}

bool MayBeLoaded(const Configuration& aConfiguration, const std::string& aVersion) {
  const ModelVersion* version = FindVersion(aConfiguration, aVersion);
  return version != nullptr && version->m_state != VersionState::Revoked;
}

std::vector<EngineLoad*> EnginesOf(const Rollout& aRollout, std::vector<EngineLoad>& aEngines) {
  std::vector<EngineLoad*> engines;
  for (EngineLoad& engine : aEngines) {
    if (HasEither(engine, aRollout)) {
      engines.push_back(&engine);
    }
  }
  // Engines that have the new version come first, so that planning again selects the same ones.
  std::sort(engines.begin(), engines.end(),
            [&aRollout](const EngineLoad* aOne, const EngineLoad* aOther) {
              const bool oneHas = aOne->m_versions.contains(aRollout.m_to);
              const bool otherHas = aOther->m_versions.contains(aRollout.m_to);
              return oneHas != otherHas ? oneHas : aOne->m_engine < aOther->m_engine;
            });
  return engines;
}

void PlanRollout(const Configuration& aConfiguration, const Rollout& aRollout,
                 std::vector<EngineLoad>& aEngines) {
  const bool goesBack = aRollout.m_state == RolloutState::RolledBack;
  const std::string& wanted = goesBack ? aRollout.m_from : aRollout.m_to;
  const bool isIdle = aRollout.m_state == RolloutState::Paused;
  if (isIdle || !MayBeLoaded(aConfiguration, wanted)) {
    return;
  }
  std::vector<EngineLoad*> engines = EnginesOf(aRollout, aEngines);
  const std::size_t needed = aRollout.m_state == RolloutState::Running
                               ? EnginesNeeded(aRollout, engines.size())
                               : engines.size();
  for (std::size_t i = 0; i < needed; ++i) {
    engines[i]->m_versions.insert(wanted);
  }
}

bool IsSuperseded(const Configuration& aConfiguration, const Rollout& aRollout) {
  const Rollout* last = nullptr;
  for (const Rollout& rollout : aConfiguration.m_rollouts) {
    last = rollout.m_model == aRollout.m_model ? &rollout : last;
  }
  return last != &aRollout;
}

} // namespace

std::vector<EngineLoad> PlanEngines(const Configuration& aConfiguration,
                                    std::vector<EngineLoad> aEngines) {
  for (const Rollout& rollout : aConfiguration.m_rollouts) {
    // If a model has several rollouts, the last one in the document applies.
    if (!IsSuperseded(aConfiguration, rollout)) {
      PlanRollout(aConfiguration, rollout, aEngines);
    }
  }
  for (EngineLoad& engine : aEngines) {
    std::erase_if(engine.m_versions, [&aConfiguration](const std::string& aVersion) {
      return !MayBeLoaded(aConfiguration, aVersion);
    });
  }
  return aEngines;
}

std::size_t EnginesNeeded(const Rollout& aRollout, std::size_t aEngines) {
  const std::size_t next = aRollout.m_step + 1;
  const bool isLast = next >= aRollout.m_stepPercents.size();
  constexpr double kPercent = 100.0;
  const double share = isLast ? 1.0 : aRollout.m_stepPercents[next] / kPercent;
  const double needed = std::ceil(share * static_cast<double>(aEngines));
  return std::min(aEngines, std::max<std::size_t>(1, static_cast<std::size_t>(needed)));
}

bool IsReadyToAdvance(const Rollout& aRollout, const std::vector<EngineLoad>& aEngines) {
  std::size_t engines = 0;
  std::size_t ready = 0;
  for (const EngineLoad& engine : aEngines) {
    engines += HasEither(engine, aRollout) ? 1 : 0;
    ready += engine.m_versions.contains(aRollout.m_to) ? 1 : 0;
  }
  return engines > 0 && ready >= EnginesNeeded(aRollout, engines);
}

} // namespace fennelline

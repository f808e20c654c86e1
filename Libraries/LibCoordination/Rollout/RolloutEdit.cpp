#include "LibCoordination/Rollout/RolloutEdit.h"

#include <algorithm>

namespace fennelline {

namespace {

Rollout* FindRollout(Configuration& aConfiguration, const std::string& aName) {
  const auto found =
    std::find_if(aConfiguration.m_rollouts.begin(), aConfiguration.m_rollouts.end(),
                 [&aName](const Rollout& aRollout) { return aRollout.m_name == aName; });
  return found == aConfiguration.m_rollouts.end() ? nullptr : &*found;
}

ModelVersion* FindVersionToEdit(Configuration& aConfiguration, const std::string& aName) {
  const auto found =
    std::find_if(aConfiguration.m_versions.begin(), aConfiguration.m_versions.end(),
                 [&aName](const ModelVersion& aVersion) { return aVersion.m_name == aName; });
  return found == aConfiguration.m_versions.end() ? nullptr : &*found;
}

} // namespace

std::optional<Configuration> AdvanceRollout(Configuration aConfiguration,
                                            const std::string& aName) {
  Rollout* rollout = FindRollout(aConfiguration, aName);
  if (rollout == nullptr || rollout->m_state != RolloutState::Running) {
    return std::nullopt;
  }
  if (rollout->m_step + 1 < rollout->m_stepPercents.size()) {
    ++rollout->m_step;
    rollout->m_reason = "The evidence at the step before was good.";
    return aConfiguration;
  }
  rollout->m_state = RolloutState::Done;
  rollout->m_reason = "The evidence at the last step was good.";
  // The old version stays loaded and serves its sessions, because a later rollback returns to it.
  ModelVersion* old = FindVersionToEdit(aConfiguration, rollout->m_from);
  if (old != nullptr && old->m_state == VersionState::Serving) {
    old->m_state = VersionState::Draining;
  }
  return aConfiguration;
}

std::optional<Configuration> WithdrawRollout(Configuration aConfiguration, const std::string& aName,
                                             const std::string& aReason) {
  Rollout* rollout = FindRollout(aConfiguration, aName);
  if (rollout == nullptr || rollout->m_state == RolloutState::RolledBack) {
    return std::nullopt;
  }
  ModelVersion* bad = FindVersionToEdit(aConfiguration, rollout->m_to);
  ModelVersion* good = FindVersionToEdit(aConfiguration, rollout->m_from);
  const bool canGoBack = good != nullptr && good->m_state != VersionState::Revoked;
  if (bad == nullptr || !canGoBack) {
    return std::nullopt;
  }
  bad->m_state = VersionState::Revoked;
  good->m_state = VersionState::Serving;
  rollout->m_state = RolloutState::RolledBack;
  rollout->m_reason = aReason;
  return aConfiguration;
}

} // namespace fennelline

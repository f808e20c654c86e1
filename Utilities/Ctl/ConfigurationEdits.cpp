#include "Utilities/Ctl/ConfigurationEdits.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace fennelline {

namespace {

constexpr double kMaxPercent = 100.0;

Error Invalid(const std::string& aDetail) {
  return MakeError(ErrorCode::InvalidField, aDetail);
}

bool IsActive(const Rollout& aRollout) {
  return aRollout.m_state == RolloutState::Running || aRollout.m_state == RolloutState::Paused;
}

Result<Rollout*> FindByName(Configuration& aConfiguration, const std::string& aName) {
  for (Rollout& rollout : aConfiguration.m_rollouts) {
    if (rollout.m_name == aName) {
      return &rollout;
    }
  }
  return Invalid("rollout: there is no roll-out named \"" + aName +
                 "\"; \"rollout status\" lists them");
}

Result<void> ChangeState(Configuration& aConfiguration, const std::string& aName,
                         RolloutState aFrom, RolloutState aTo, const std::string& aReason) {
  Rollout* rollout = TRY(FindByName(aConfiguration, aName));
  if (rollout->m_state != aFrom) {
    return Invalid("rollout: \"" + aName + "\" is " +
                   std::string(NameOf(kRolloutStateNames, rollout->m_state)) + ", not " +
                   std::string(NameOf(kRolloutStateNames, aFrom)));
  }
  rollout->m_state = aTo;
  rollout->m_reason = aReason;
  return {};
}

Result<void> CheckServing(const Configuration& aConfiguration, const std::string& aVersion,
                          const std::string& aFlag) {
  const ModelVersion* version = FindVersion(aConfiguration, aVersion);
  if (version == nullptr) {
    return Invalid(aFlag + ": \"" + aVersion +
                   "\" is not a version in the configuration; add it "
                   "under \"versions\" with \"apply\" first");
  }
  if (version->m_state != VersionState::Serving) {
    return Invalid(aFlag + ": \"" + aVersion + "\" is " +
                   std::string(NameOf(kVersionStateNames, version->m_state)) +
                   "; set its state to serving with \"apply\" first");
  }
  return {};
}

} // namespace

Result<void> StartRollout(Configuration& aConfiguration, const RolloutRequest& aRequest) {
  TRY(CheckServing(aConfiguration, aRequest.m_from, "--from"));
  TRY(CheckServing(aConfiguration, aRequest.m_to, "--to"));
  const Rollout* active = FindActiveRollout(aConfiguration, ModelOf(aRequest.m_to));
  if (active != nullptr) {
    return Invalid("--to: the model already has the active roll-out \"" + active->m_name +
                   "\"; wait until it ends or withdraw its version");
  }
  std::vector<Rollout>& rollouts = aConfiguration.m_rollouts;
  std::erase_if(rollouts, [&aRequest](const Rollout& aRollout) {
    return aRollout.m_name == aRequest.m_name && !IsActive(aRollout);
  });
  rollouts.push_back({.m_name = aRequest.m_name,
                      .m_model = ModelOf(aRequest.m_to),
                      .m_from = aRequest.m_from,
                      .m_to = aRequest.m_to,
                      .m_stepPercents = aRequest.m_stepPercents,
                      .m_step = 0,
                      .m_state = RolloutState::Running,
                      .m_reason = "started by an operator"});
  return {};
}

Result<void> PauseRollout(Configuration& aConfiguration, const std::string& aName) {
  return ChangeState(aConfiguration, aName, RolloutState::Running, RolloutState::Paused,
                     "paused by an operator");
}

Result<void> ResumeRollout(Configuration& aConfiguration, const std::string& aName) {
  return ChangeState(aConfiguration, aName, RolloutState::Paused, RolloutState::Running,
                     "resumed by an operator");
}

Result<void> WithdrawVersion(Configuration& aConfiguration, const std::string& aVersion,
                             VersionState aState) {
  std::vector<ModelVersion>& versions = aConfiguration.m_versions;
  const auto found =
    std::find_if(versions.begin(), versions.end(),
                 [&aVersion](const ModelVersion& aItem) { return aItem.m_name == aVersion; });
  if (found == versions.end()) {
    return Invalid("withdraw: \"" + aVersion +
                   "\" is not a version in the configuration; "
                   "\"show\" lists them");
  }
  found->m_state = aState;
  for (Rollout& rollout : aConfiguration.m_rollouts) {
    if (rollout.m_to == aVersion && IsActive(rollout)) {
      rollout.m_state = RolloutState::RolledBack;
      rollout.m_reason = "its version was withdrawn by an operator";
    }
  }
  return {};
}

Result<std::vector<double>> ParsePercents(const std::string& aText) {
  std::vector<double> percents;
  std::istringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    char* end = nullptr;
    const double percent = std::strtod(part.c_str(), &end);
    const bool valid = !part.empty() && *end == '\0' && percent > 0.0 && percent <= kMaxPercent;
    const bool increases = percents.empty() || percent > percents.back();
    if (!valid || !increases) {
      return Invalid("--steps: must be comma-separated increasing percentages, above 0 and up to "
                     "100, such as 1,5,25,100");
    }
    percents.push_back(percent);
  }
  if (percents.empty()) {
    return Invalid("--steps: must contain at least one percentage, such as 1,5,25,100");
  }
  return percents;
}

} // namespace fennelline

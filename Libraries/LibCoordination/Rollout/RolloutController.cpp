#include "LibCoordination/Rollout/RolloutController.h"

#include "LibCoordination/Rollout/RolloutEdit.h"

#include <utility>

namespace fennelline {

namespace {

TimelineRecord MakeRecord(std::string aName, std::string aVersion, std::string aDetail) {
  TimelineRecord record;
  record.m_name = std::move(aName);
  record.m_version = std::move(aVersion);
  record.m_fields.emplace_back("detail", std::move(aDetail));
  return record;
}

} // namespace

RolloutController::RolloutController(RolloutSettings aSettings, std::uint64_t aSeed)
  : m_settings(std::move(aSettings))
  , m_lease(m_settings.m_lease, aSeed) {}

RolloutEffects RolloutController::Tick(Time aNow) {
  RolloutEffects effects;
  Append(effects, m_lease.Tick(aNow), aNow);
  ExpireOrders(aNow);
  if (!IsHolder(aNow)) {
    return effects;
  }
  WatchConfiguration(effects, aNow);
  PollIfDue(effects, aNow);
  if (m_apply) {
    Append(effects, m_apply->Tick(aNow), aNow);
  } else {
    Decide(effects, aNow);
  }
  SendOrders(effects, aNow);
  return effects;
}

RolloutEffects RolloutController::OnPlatformReply(const PlatformReply& aReply, Time aNow) {
  RolloutEffects effects;
  if (aReply.m_call.m_component == Component::Lease) {
    Append(effects, m_lease.OnPlatformReply(aReply, aNow), aNow);
  } else if (aReply.m_call.m_component == Component::Observation) {
    OnConfigurationReply(effects, aReply, aNow);
  } else if (m_apply) {
    Append(effects, m_apply->OnPlatformReply(aReply, aNow), aNow);
  }
  return effects;
}

void RolloutController::OnEvidence(const EntryId& aEntry,
                                   const std::vector<VersionEvidence>& aEvidence, Time aNow) {
  if (!m_configuration && m_trials.empty()) {
    // Before the configuration is read there are no trials, so these counts would be lost to them.
    return;
  }
  const bool isFirst = !m_pool.Knows(aEntry);
  const std::map<std::string, ClusterCount> increments = m_pool.Take(aEntry, aEvidence);
  // A new holder does not know which of these counts belong to the current step: they may count
  // against the version, but not for it.
  const bool isOfEarlierSteps = isFirst && aNow - m_heldSince < m_settings.m_minStepTime;
  for (auto& [name, trial] : m_trials) {
    const auto increment = increments.find(trial.m_version);
    if (increment == increments.end()) {
      continue;
    }
    trial.m_test.Add(increment->second.m_clusters, increment->second.m_bad);
    trial.m_detector.Add(increment->second.m_clusters, increment->second.m_bad);
    if (isOfEarlierSteps) {
      trial.m_test.StartStep();
    }
  }
}

RolloutEffects RolloutController::Release(Time aNow) {
  RolloutEffects effects;
  Append(effects, m_lease.Release(aNow), aNow);
  return effects;
}

void RolloutController::Append(RolloutEffects& aEffects, Step<LeaseOutcome> aStep, Time aNow) {
  for (Effect& effect : aStep.m_effects) {
    if (CallPlatform* call = std::get_if<CallPlatform>(&effect)) {
      aEffects.emplace_back(std::move(*call));
    }
  }
  for (const LeaseOutcome& outcome : aStep.m_outcomes) {
    if (const LeaseAcquired* taken = std::get_if<LeaseAcquired>(&outcome)) {
      OnLeaseAcquired(aNow);
      aEffects.emplace_back(
        RecordTimeline{MakeRecord("rollout.holder", "", std::to_string(taken->m_fence))});
    } else {
      aEffects.emplace_back(RecordTimeline{MakeRecord("rollout.lease-lost", "", "")});
    }
  }
}

void RolloutController::Append(RolloutEffects& aEffects, Step<ApplyOutcome> aStep, Time aNow) {
  for (Effect& effect : aStep.m_effects) {
    if (CallPlatform* call = std::get_if<CallPlatform>(&effect)) {
      aEffects.emplace_back(std::move(*call));
    }
  }
  if (!aStep.m_outcomes.empty()) {
    // Whatever the outcome, the document is read again before the next decision. After a conflict,
    // the decision is made anew on the document that another operator wrote.
    m_lastApplyNumber = m_apply->LastCallNumber();
    m_apply.reset();
    m_configuration.reset();
    m_revision = 0;
    m_watchOpen = false;
    m_nextWatch = aNow;
  }
}

void RolloutController::OnLeaseAcquired(Time aNow) {
  m_superseded = false;
  m_heldSince = aNow;
  m_configuration.reset();
  m_revision = 0;
  m_watchOpen = false;
  m_nextWatch = aNow;
  if (m_apply) {
    m_lastApplyNumber = m_apply->LastCallNumber();
    m_apply.reset();
  }
  m_orders.clear();
  m_trials.clear();
  m_pool = EvidencePool();
  for (auto& [name, engine] : m_engines) {
    engine.m_versions.reset();
    engine.m_ignoreReportsBefore = aNow;
  }
}

void RolloutController::WatchConfiguration(RolloutEffects& aEffects, Time aNow) {
  if (m_watchOpen && aNow - m_watchSentAt >= m_settings.m_callTimeout) {
    m_watchOpen = false;
  }
  if (m_watchOpen || aNow < m_nextWatch) {
    return;
  }
  m_watchOpen = true;
  m_watchSentAt = aNow;
  m_watchNumber = ++m_lastNumber;
  PlatformRequest request = GetKey{.m_key = kConfigurationKey};
  if (m_revision != 0) {
    request = WatchKeys{.m_prefix = kConfigurationKey,
                        .m_after = m_revision,
                        .m_waitMilliseconds = InMilliseconds(m_settings.m_watchWait)};
  }
  aEffects.emplace_back(
    CallPlatform{.m_call = {.m_component = Component::Observation, .m_number = m_watchNumber},
                 .m_request = std::move(request)});
}

void RolloutController::OnConfigurationReply(RolloutEffects& aEffects, const PlatformReply& aReply,
                                             Time aNow) {
  if (!m_watchOpen || aReply.m_call.m_number != m_watchNumber) {
    return;
  }
  m_watchOpen = false;
  const bool isOk = aReply.m_status == PlatformStatus::Ok;
  m_nextWatch = isOk ? aNow : aNow + m_settings.m_retryWait;
  for (const KeyValue& key : aReply.m_keys) {
    if (isOk && key.m_key == kConfigurationKey && key.m_revision > m_revision) {
      TakeConfiguration(aEffects, key, aNow);
    }
  }
}

void RolloutController::TakeConfiguration(RolloutEffects& aEffects, const KeyValue& aKey,
                                          Time aNow) {
  m_revision = aKey.m_revision;
  Result<Configuration> parsed = ParseConfiguration(aKey.m_value);
  if (parsed.IsError()) {
    // The document may be written for a newer program; a program that cannot parse it must not edit
    // it.
    m_configuration.reset();
    aEffects.emplace_back(RecordTimeline{
      MakeRecord("rollout.configuration-unreadable", "", parsed.GetError().m_detail)});
    return;
  }
  m_configuration = parsed.Take();
  m_configuration->m_revision = aKey.m_revision;
  for (const Rollout& rollout : m_configuration->m_rollouts) {
    UpdateTrial(rollout, aNow);
  }
}

void RolloutController::UpdateTrial(const Rollout& aRollout, Time aNow) {
  const auto known = m_trials.find(aRollout.m_name);
  if (known == m_trials.end() || known->second.m_version != aRollout.m_to) {
    m_trials.insert_or_assign(aRollout.m_name,
                              Trial{aRollout.m_to, SequentialTest(m_settings.m_test),
                                    ChangeDetector(m_settings.m_detector), aRollout.m_step, aNow});
    return;
  }
  Trial& trial = known->second;
  if (trial.m_step != aRollout.m_step) {
    trial.m_test.StartStep();
    trial.m_step = aRollout.m_step;
    trial.m_stepSince = aNow;
  }
}

void RolloutController::Decide(RolloutEffects& aEffects, Time aNow) {
  if (!m_configuration) {
    return;
  }
  for (const Rollout& rollout : m_configuration->m_rollouts) {
    const std::optional<Configuration> edited = Decision(rollout, aNow);
    if (edited) {
      aEffects.emplace_back(
        RecordTimeline{MakeRecord("rollout.decided", rollout.m_to, rollout.m_name)});
      Apply(aEffects, *edited, aNow);
      return;
    }
  }
}

std::optional<Configuration> RolloutController::Decision(const Rollout& aRollout, Time aNow) const {
  const Trial& trial = m_trials.at(aRollout.m_name);
  const ModelVersion* version = FindVersion(*m_configuration, aRollout.m_to);
  const bool isRevoked = version != nullptr && version->m_state == VersionState::Revoked;
  const bool isUnderWay =
    aRollout.m_state == RolloutState::Running || aRollout.m_state == RolloutState::Paused;
  const bool isBad = isUnderWay && trial.m_test.Verdict() == ExposureVerdict::Withdraw;
  const bool regressed = aRollout.m_state == RolloutState::Done && trial.m_detector.HasChanged();
  if (isBad || regressed) {
    return WithdrawRollout(*m_configuration, aRollout.m_name,
                           isBad ? "The evidence speaks against the new version."
                                 : "The version turned bad after the roll-out.");
  }
  if (isUnderWay && isRevoked) {
    return WithdrawRollout(*m_configuration, aRollout.m_name, "An operator revoked the version.");
  }
  const bool mayAdvance = aRollout.m_state == RolloutState::Running &&
                          trial.m_test.Verdict() == ExposureVerdict::Advance &&
                          aNow - trial.m_stepSince >= m_settings.m_minStepTime &&
                          IsReadyToAdvance(aRollout, Engines());
  return mayAdvance ? AdvanceRollout(*m_configuration, aRollout.m_name) : std::nullopt;
}

void RolloutController::Apply(RolloutEffects& aEffects, const Configuration& aEdited, Time aNow) {
  ApplyInput input;
  input.m_text = WriteConfiguration(aEdited);
  input.m_baseRevision = m_revision;
  input.m_lastCallNumber = m_lastApplyNumber;
  m_apply.emplace(std::move(input));
  Append(aEffects, m_apply->Start(aNow), aNow);
}

} // namespace fennelline

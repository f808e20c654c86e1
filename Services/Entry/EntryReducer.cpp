#include "Services/Entry/EntryReducer.h"

#include "Services/Entry/Emit.h"

#include <algorithm>

namespace fennelline {

namespace {

/// The share of sessions whose answers are rated, with and without a running roll-out.
constexpr double kRatedShareInRollout = 1.0;
constexpr double kRatedShare = 0.1;

bool HasRunningRollout(const Configuration& aConfiguration) {
  return std::any_of(
    aConfiguration.m_rollouts.begin(), aConfiguration.m_rollouts.end(),
    [](const Rollout& aRollout) { return aRollout.m_state == RolloutState::Running; });
}

} // namespace

EntryReducer::EntryReducer(const EntryStart& aStart)
  : m_parts(aStart)
  , m_pipeline(m_parts) {}

EntryEffects EntryReducer::Reduce(const Event& aEvent, Time aNow) {
  EntryEffects effects;
  std::visit([&](const auto& aItem) { On(aItem, aNow, effects); }, aEvent);
  return effects;
}

std::string EntryReducer::StreamAddressOf(const EntryId& aEntry) const {
  const auto found = m_streamAddresses.find(aEntry);
  return found == m_streamAddresses.end() ? std::string() : found->second;
}

std::vector<MemberDigest> EntryReducer::EntriesForCallers() const {
  std::vector<MemberDigest> entries = m_parts.m_membership.Members();
  std::erase_if(entries,
                [](const MemberDigest& aMember) { return aMember.m_state != MemberState::Alive; });
  return entries;
}

void EntryReducer::On(const CallerRequest& aEvent, Time aNow, EntryEffects& aEffects) {
  m_pipeline.OnCallerRequest(aEvent, aNow, aEffects);
}

void EntryReducer::On(const CallerGone& aEvent, Time aNow, EntryEffects& aEffects) {
  m_pipeline.OnCallerGone(aEvent.m_caller, aNow, aEffects);
}

void EntryReducer::On(const BackendAnswered& aEvent, Time aNow, EntryEffects& /*aEffects*/) {
  m_pipeline.OnBackendAnswered(aEvent, aNow);
}

void EntryReducer::On(const BackendChunk& aEvent, Time aNow, EntryEffects& aEffects) {
  m_pipeline.OnBackendChunk(aEvent, aNow, aEffects);
}

void EntryReducer::On(const BackendFinished& aEvent, Time aNow, EntryEffects& aEffects) {
  m_pipeline.OnBackendFinished(aEvent, aNow, aEffects);
}

void EntryReducer::On(const BackendFailed& aEvent, Time aNow, EntryEffects& aEffects) {
  m_pipeline.OnBackendFailed(aEvent, aNow, aEffects);
}

void EntryReducer::On(const VmListRead& aEvent, Time aNow, EntryEffects& aEffects) {
  m_parts.m_backends.OnVmList(aEvent.m_vms);
  std::vector<std::string> entries;
  for (const ListedVm& vm : aEvent.m_vms) {
    if (vm.m_role != "entry") {
      if (vm.m_leaving) {
        ApplyOutcomes(Emit(m_parts.m_membership.MarkLeaving(vm.m_name, aNow), aEffects), aNow,
                      aEffects);
      }
      m_parts.m_backends.MarkLeaving(vm.m_name, m_parts.m_membership.IsLeaving(vm.m_name));
      continue;
    }
    entries.push_back(vm.m_address);
    if (vm.m_leaving && vm.m_name == m_parts.m_settings.m_name) {
      BeginLeaving(aNow, aEffects);
    }
  }
  ApplyOutcomes(Emit(m_parts.m_membership.OnVmList(std::move(entries), aNow), aEffects), aNow,
                aEffects);
}

void EntryReducer::On(const LoadPolled& aEvent, Time aNow, EntryEffects& aEffects) {
  m_parts.m_backends.OnLoadPolled(aEvent, aNow);
  if (aEvent.m_refused) {
    m_pipeline.OnServerUnreachable(aEvent.m_backendServer, aNow, aEffects);
  }
  // A poll that got no whole reply may have met a server that is just ending.
  if (aEvent.m_refused || (aEvent.m_afterFailure && aEvent.m_reached)) {
    m_pipeline.OnServerChecked(aEvent.m_backendServer, aNow, aEffects);
  }
  if (!aEvent.m_reached) {
    return;
  }
  const bool known = m_parts.m_membership.IsLeaving(aEvent.m_backendServer);
  if (aEvent.m_leaving && !known) {
    ApplyOutcomes(Emit(m_parts.m_membership.MarkLeaving(aEvent.m_backendServer, aNow), aEffects),
                  aNow, aEffects);
  }
  if (!aEvent.m_leaving && known) {
    ApplyOutcomes(Emit(m_parts.m_membership.ClearLeaving(aEvent.m_backendServer, aNow), aEffects),
                  aNow, aEffects);
  }
}

void EntryReducer::On(const CacheChanged& aEvent, Time /*aNow*/, EntryEffects& /*aEffects*/) {
  m_parts.m_prefixes.OnCacheEvents(aEvent.m_backendServer, aEvent.m_added, aEvent.m_removed,
                                   aEvent.m_gap);
}

void EntryReducer::On(const RatingArrived& aEvent, Time aNow, EntryEffects& aEffects) {
  m_pipeline.OnRating(aEvent, aNow, aEffects);
}

void EntryReducer::On(const MessageReceived& aEvent, Time aNow, EntryEffects& aEffects) {
  // Each component ignores message types that it does not handle.
  const EntryId& from = aEvent.m_from;
  const Message& message = aEvent.m_message;
  if (const LoadReports* reports = std::get_if<LoadReports>(&message)) {
    for (const LoadReport& report : reports->m_reports) {
      m_parts.m_backends.OnLoadReport(report, aNow);
    }
    return;
  }
  m_pipeline.OnClaimOutcomes(Emit(m_parts.m_claims.OnMessage(from, message, aNow), aEffects), aNow,
                             aEffects);
  ApplyOutcomes(Emit(m_parts.m_usage.OnMessage(from, message, aNow), aEffects), aNow, aEffects);
  ApplyOutcomes(Emit(m_parts.m_configuration.OnMessage(from, message, aNow), aEffects), aNow,
                aEffects);
  Emit(m_parts.m_crashes.OnMessage(from, message, aNow), aEffects);
}

void EntryReducer::On(const DatagramReceived& aEvent, Time aNow, EntryEffects& aEffects) {
  const MembershipDatagram& datagram = aEvent.m_datagram;
  ApplyOutcomes(Emit(m_parts.m_membership.OnDatagram(datagram, aNow), aEffects), aNow, aEffects);
  ApplyOutcomes(Emit(m_parts.m_configuration.OnPeerRevision(datagram.m_from,
                                                            datagram.m_configurationRevision, aNow),
                     aEffects),
                aNow, aEffects);
}

void EntryReducer::On(const PlatformReply& aEvent, Time aNow, EntryEffects& aEffects) {
  switch (aEvent.m_call.m_component) {
    case Component::Configuration:
      ApplyOutcomes(Emit(m_parts.m_configuration.OnPlatformReply(aEvent, aNow), aEffects), aNow,
                    aEffects);
      return;
    case Component::Claims:
      m_pipeline.OnClaimOutcomes(Emit(m_parts.m_claims.OnPlatformReply(aEvent, aNow), aEffects),
                                 aNow, aEffects);
      return;
    case Component::Usage:
      ApplyOutcomes(Emit(m_parts.m_usage.OnPlatformReply(aEvent, aNow), aEffects), aNow, aEffects);
      return;
    case Component::Spend:
      Emit(m_parts.m_spend.OnPlatformReply(aEvent, aNow), aEffects);
      return;
    case Component::Membership:
    case Component::Lease:
    case Component::Observation:
      return;
  }
}

void EntryReducer::On(const Tick& /*aEvent*/, Time aNow, EntryEffects& aEffects) {
  ApplyOutcomes(Emit(m_parts.m_membership.Tick(aNow), aEffects), aNow, aEffects);
  ApplyOutcomes(Emit(m_parts.m_configuration.Tick(aNow), aEffects), aNow, aEffects);
  m_pipeline.OnClaimOutcomes(Emit(m_parts.m_claims.Tick(aNow), aEffects), aNow, aEffects);
  ApplyOutcomes(Emit(m_parts.m_usage.Tick(aNow), aEffects), aNow, aEffects);
  Emit(m_parts.m_spend.Tick(aNow), aEffects);
  Emit(m_parts.m_crashes.Tick(aNow), aEffects);
  m_pipeline.OnTick(aNow, aEffects);
  if (m_parts.m_usage.IsClosed() && !m_parts.m_stopping) {
    // The peers considered this entry dead for so long that its ledger was removed, so the process
    // has to be restarted.
    aEffects.emplace_back(RecordTimeline{{.m_name = "usage.closed"}});
    On(StopRequested{}, aNow, aEffects);
  }
  AdvanceStop(aNow, aEffects);
}

void EntryReducer::On(const StopRequested& /*aEvent*/, Time aNow, EntryEffects& aEffects) {
  if (m_parts.m_stopping) {
    return;
  }
  m_parts.m_stopping = true;
  BeginLeaving(aNow, aEffects);
  m_stopLimit = m_parts.m_refuseFrom + m_parts.m_settings.m_stopLimit;
}

void EntryReducer::BeginLeaving(Time aNow, EntryEffects& aEffects) {
  if (m_leaving) {
    return;
  }
  m_leaving = true;
  // Callers may cache a list with this entry for the list's full lifetime, so the entry continues
  // to serve for longer than that.
  m_parts.m_refuseFrom =
    aNow + m_parts.m_settings.m_entryListLife + m_parts.m_settings.m_leaveMargin;
  ApplyOutcomes(Emit(m_parts.m_membership.Leave(aNow), aEffects), aNow, aEffects);
  aEffects.emplace_back(RecordTimeline{{.m_name = "entry.leaving"}});
}

void EntryReducer::AdvanceStop(Time aNow, EntryEffects& aEffects) {
  if (!m_parts.m_stopping || m_stopped || aNow < m_parts.m_refuseFrom) {
    return;
  }
  const bool idle = m_pipeline.OpenCount() == 0;
  if (idle && !m_flushed) {
    m_flushed = true;
    ApplyOutcomes(Emit(m_parts.m_usage.Flush(aNow), aEffects), aNow, aEffects);
    Emit(m_parts.m_spend.ReturnAll(aNow), aEffects);
  }
  const bool clean =
    idle && m_parts.m_usage.CountUnsettled() == 0 && m_parts.m_spend.HasReturnedAll();
  if (clean || aNow >= m_stopLimit) {
    m_stopped = true;
    aEffects.emplace_back(StopNow{.m_clean = clean});
  }
}

void EntryReducer::ApplyOutcomes(const std::vector<MembershipOutcome>& aOutcomes, Time aNow,
                                 EntryEffects& aEffects) {
  bool membersChanged = false;
  for (const MembershipOutcome& outcome : aOutcomes) {
    if (const BackendServerLeaving* leaving = std::get_if<BackendServerLeaving>(&outcome)) {
      m_parts.m_backends.MarkLeaving(leaving->m_backendServer, leaving->m_leaving);
      aEffects.emplace_back(
        RecordTimeline{{.m_name = leaving->m_leaving ? "backend.leaving" : "backend.back",
                        .m_fields = {{"server", leaving->m_backendServer}}}});
      continue;
    }
    const MemberDigest& member = std::get<MemberChanged>(outcome).m_member;
    membersChanged = true;
    aEffects.emplace_back(
      RecordTimeline{{.m_name = "member." + std::string(NameOf(kMemberStateNames, member.m_state)),
                      .m_fields = {{"entry", member.m_entry}}}});
  }
  if (membersChanged) {
    OnMembersChanged(aNow, aEffects);
  }
}

void EntryReducer::OnMembersChanged(Time aNow, EntryEffects& aEffects) {
  const std::vector<MemberDigest> members = m_parts.m_membership.Members();
  std::vector<EntryId> others;
  m_streamAddresses.clear();
  for (const MemberDigest& member : members) {
    m_streamAddresses[member.m_entry] = member.m_streamAddress;
    if (member.m_entry != m_parts.m_self) {
      others.push_back(member.m_entry);
    }
  }
  m_parts.m_liveEntries = std::max<std::size_t>(members.size(), 1);
  ApplyOutcomes(Emit(m_parts.m_configuration.OnMembers(members, aNow), aEffects), aNow, aEffects);
  m_pipeline.OnClaimOutcomes(Emit(m_parts.m_claims.OnMembers(members, aNow), aEffects), aNow,
                             aEffects);
  ApplyOutcomes(Emit(m_parts.m_usage.OnMembers(members, aNow), aEffects), aNow, aEffects);
  Emit(m_parts.m_crashes.OnMembers(others, aNow), aEffects);
}

void EntryReducer::ApplyOutcomes(const std::vector<ConfigurationOutcome>& aOutcomes, Time aNow,
                                 EntryEffects& aEffects) {
  for (const ConfigurationOutcome& outcome : aOutcomes) {
    if (const ConfigurationInForce* inForce = std::get_if<ConfigurationInForce>(&outcome)) {
      OnConfiguration(*inForce->m_configuration, aNow, aEffects);
      continue;
    }
    const ConfigurationUnreadable& unreadable = std::get<ConfigurationUnreadable>(outcome);
    aEffects.emplace_back(
      RecordTimeline{{.m_name = "configuration.unreadable",
                      .m_fields = {{"revision", std::to_string(unreadable.m_revision)},
                                   {"reason", unreadable.m_reason}}}});
  }
}

void EntryReducer::OnConfiguration(const Configuration& aConfiguration, Time aNow,
                                   EntryEffects& aEffects) {
  m_parts.m_membership.SetConfigurationRevision(aConfiguration.m_revision);
  m_parts.m_evidence.SetRatedShare(HasRunningRollout(aConfiguration) ? kRatedShareInRollout
                                                                     : kRatedShare);
  std::map<std::string, ExposureCount> exposures;
  for (const Rollout& rollout : aConfiguration.m_rollouts) {
    if (rollout.m_state == RolloutState::Running && rollout.m_step == 0) {
      exposures[rollout.m_to] = m_parts.m_exposures[rollout.m_to];
    }
  }
  m_parts.m_exposures = std::move(exposures);
  for (const Contract& contract : aConfiguration.m_contracts) {
    Emit(m_parts.m_spend.OnLimits(contract.m_customer, contract.m_spendLimitMicros,
                                  contract.m_spendPeriod, aNow),
         aEffects);
  }
  aEffects.emplace_back(
    RecordTimeline{{.m_name = "configuration.in-force",
                    .m_fields = {{"revision", std::to_string(aConfiguration.m_revision)}}}});
}

void EntryReducer::ApplyOutcomes(const std::vector<UsageOutcome>& aOutcomes, Time aNow,
                                 EntryEffects& aEffects) {
  for (const UsageOutcome& held : aOutcomes) {
    m_pipeline.OnUsageHeld(held, aNow, aEffects);
  }
}

} // namespace fennelline

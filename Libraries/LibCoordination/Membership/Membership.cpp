#include "LibCoordination/Membership/Membership.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

bool IsNewer(const MemberDigest& aDigest, const MemberDigest& aKnown) {
  if (aDigest.m_version != aKnown.m_version) {
    return aDigest.m_version > aKnown.m_version;
  }
  return aDigest.m_state > aKnown.m_state;
}

TimelineRecord MakeRecord(const MemberDigest& aMember) {
  TimelineRecord record;
  record.m_name = "member.changed";
  record.m_fields.emplace_back("member", aMember.m_entry);
  record.m_fields.emplace_back("state", NameOf(kMemberStateNames, aMember.m_state));
  record.m_fields.emplace_back("version", std::to_string(aMember.m_version));
  return record;
}

} // namespace

Membership::Membership(MembershipSettings aSettings, MemberDigest aSelf, std::uint64_t aSeed)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_random(aSeed)
  , m_leaving(aSettings.m_leaving) {
  m_self.m_version = 1;
  m_self.m_state = MemberState::Alive;
  m_urgentBytes = static_cast<double>(m_settings.m_urgentBurstBytes);
}

Step<MembershipOutcome> Membership::OnDatagram(const MembershipDatagram& aDatagram, Time aNow) {
  Outcomes step;
  Advance(aNow);
  if (aDatagram.m_from == m_self.m_entry) {
    return step;
  }
  MergeUpdates(step, aDatagram, aNow);
  switch (aDatagram.m_kind) {
    case DatagramKind::Ping:
      OnPing(step, aDatagram, aNow);
      break;
    case DatagramKind::Ack:
      OnAck(step, aDatagram, aNow);
      break;
    case DatagramKind::IndirectPing:
      OnIndirectPing(step, aDatagram, aNow);
      break;
    case DatagramKind::IndirectAck:
      OnIndirectAck(step, aDatagram, aNow);
      break;
    case DatagramKind::Join:
      OnJoin(step, aDatagram, aNow);
      break;
  }
  return step;
}

Step<MembershipOutcome> Membership::OnVmList(std::vector<std::string> aAddresses, Time aNow) {
  Outcomes step;
  Advance(aNow);
  m_seeds = std::move(aAddresses);
  if (OtherCount() == 0) {
    m_nextSeed = aNow;
  }
  TrySeeds(step, aNow);
  return step;
}

Step<MembershipOutcome> Membership::Tick(Time aNow) {
  Outcomes step;
  Advance(aNow);
  ProbeIfDue(step, aNow);
  CheckExpiry(step, aNow);
  VerifyCandidates(step, aNow);
  SyncIfDue(step, aNow);
  TrySeeds(step, aNow);
  SendUrgent(step, aNow);
  return step;
}

Step<MembershipOutcome> Membership::Leave(Time aNow) {
  Outcomes step;
  Advance(aNow);
  ++m_self.m_version;
  m_self.m_state = MemberState::Leaving;
  step.m_effects.emplace_back(RecordTimeline{MakeRecord(m_self)});
  step.m_outcomes.emplace_back(MemberChanged{m_self});
  SpreadMember(m_self.m_entry, aNow);
  SendUrgent(step, aNow);
  return step;
}

Step<MembershipOutcome> Membership::SetCallerAddress(const std::string& aAddress, Time aNow) {
  Outcomes step;
  Advance(aNow);
  if (m_self.m_callerAddress == aAddress) {
    return step;
  }
  ++m_self.m_version;
  m_self.m_callerAddress = aAddress;
  step.m_outcomes.emplace_back(MemberChanged{m_self});
  SpreadMember(m_self.m_entry, aNow);
  SendUrgent(step, aNow);
  return step;
}

Step<MembershipOutcome> Membership::MarkLeaving(const BackendServerId& aServer, Time aNow) {
  Outcomes step;
  Advance(aNow);
  const bool wasLeaving = m_leaving.IsLeaving(aServer);
  if (!m_leaving.Mark(aServer, aNow)) {
    return step;
  }
  SpreadLeaving(aServer, aNow);
  if (!wasLeaving) {
    ReportLeaving(step, aServer);
  }
  SendUrgent(step, aNow);
  return step;
}

Step<MembershipOutcome> Membership::ClearLeaving(const BackendServerId& aServer, Time aNow) {
  Outcomes step;
  Advance(aNow);
  if (!m_leaving.Clear(aServer, aNow)) {
    return step;
  }
  SpreadLeaving(aServer, aNow);
  ReportLeaving(step, aServer);
  return step;
}

std::vector<MemberDigest> Membership::Members() const {
  std::vector<MemberDigest> members = {m_self};
  for (const auto& [entry, member] : m_members) {
    if (member.m_digest.m_state != MemberState::Dead) {
      members.push_back(member.m_digest);
    }
  }
  std::sort(members.begin(), members.end(), [](const MemberDigest& aOne, const MemberDigest& aTwo) {
    return aOne.m_entry < aTwo.m_entry;
  });
  return members;
}

bool Membership::IsIsolated() const {
  const std::size_t needed = std::min(m_settings.m_unansweredProbes, OtherCount());
  if (needed == 0 || m_probeResults.size() < needed) {
    return false;
  }
  std::size_t unanswered = 0;
  std::size_t unansweredInARow = 0;
  for (const ProbeResult& result : m_probeResults) {
    unanswered += result.m_answered ? 0 : 1;
    unansweredInARow = result.m_answered ? 0 : unansweredInARow + 1;
  }
  const bool mostAreUnanswered = m_probeResults.size() >= m_settings.m_unansweredProbes &&
                                 unanswered * 2 > m_probeResults.size();
  return mostAreUnanswered || unansweredInARow >= needed;
}

void Membership::Advance(Time aNow) {
  if (!m_lastCalledAt) {
    m_lastCalledAt = aNow;
    m_urgentBytesAsOf = aNow;
  }
  const Duration gap = aNow - *m_lastCalledAt;
  m_lastCalledAt = aNow;
  if (gap <= m_settings.m_pauseLimit) {
    return;
  }
  // This process was paused: acknowledgements may still be unread, so the pause does not count
  // against any member.
  m_probe.reset();
  m_relays.clear();
  for (auto& [entry, member] : m_members) {
    if (member.m_expiresAt != kNever) {
      member.m_expiresAt += gap;
    }
  }
}

void Membership::MergeUpdates(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow) {
  for (const MemberDigest& digest : aDatagram.m_members) {
    if (digest.m_entry == m_self.m_entry) {
      Refute(aStep, digest, aNow);
    } else if (m_members.contains(digest.m_entry)) {
      MergeDigest(aStep, digest, aNow);
    } else {
      AddCandidate(digest, digest.m_entry == aDatagram.m_from, aNow);
    }
  }
  for (const LeavingDigest& digest : aDatagram.m_leaving) {
    MergeLeaving(aStep, digest, aNow);
  }
}

void Membership::MergeDigest(Outcomes& aStep, const MemberDigest& aDigest, Time aNow) {
  Member& member = m_members.at(aDigest.m_entry);
  if (!IsNewer(aDigest, member.m_digest)) {
    return;
  }
  if (aDigest.m_state == MemberState::Dead) {
    MergeDeath(aStep, member, aDigest, aNow);
    return;
  }
  Change(aStep, member, aDigest, aNow);
}

void Membership::MergeDeath(Outcomes& aStep, Member& aMember, MemberDigest aDigest, Time aNow) {
  const MemberState state = aMember.m_digest.m_state;
  const bool wasSuspected =
    state == MemberState::Suspect && aNow - aMember.m_since >= m_settings.m_suspicionTime / 2;
  if (state != MemberState::Leaving && !wasSuspected) {
    // After a partition, the other side may report members as dead that are alive. Each entry first
    // gives the member time to refute this.
    aDigest.m_state = MemberState::Suspect;
    if (!IsNewer(aDigest, aMember.m_digest)) {
      return;
    }
  }
  Change(aStep, aMember, std::move(aDigest), aNow);
}

void Membership::Refute(Outcomes& aStep, const MemberDigest& aDigest, Time aNow) {
  const bool isSuspected =
    aDigest.m_state == MemberState::Suspect || aDigest.m_state == MemberState::Dead;
  if (!isSuspected || aDigest.m_version < m_self.m_version) {
    return;
  }
  m_self.m_version = aDigest.m_version + 1;
  aStep.m_effects.emplace_back(RecordTimeline{MakeRecord(m_self)});
  SpreadMember(m_self.m_entry, aNow);
}

void Membership::AddCandidate(const MemberDigest& aDigest, bool aFromItself, Time aNow) {
  if (aDigest.m_state == MemberState::Dead) {
    return;
  }
  const auto [found, isNew] = m_candidates.try_emplace(aDigest.m_entry);
  Candidate& candidate = found->second;
  candidate.m_introduced = candidate.m_introduced || aFromItself;
  if (isNew) {
    candidate.m_triesLeft = m_settings.m_verifyTries;
    // A new member introduces itself to all members, so it is pinged at once only if it did so or
    // while this entry is joining.
    const bool askNow = aFromItself || m_joining;
    candidate.m_nextTry = askNow ? aNow : aNow + m_settings.m_verifyInterval;
  } else if (aFromItself) {
    candidate.m_nextTry = std::min(candidate.m_nextTry, aNow);
  }
  if (isNew || IsNewer(aDigest, candidate.m_digest)) {
    candidate.m_digest = aDigest;
  }
}

void Membership::MergeLeaving(Outcomes& aStep, const LeavingDigest& aDigest, Time aNow) {
  const bool wasLeaving = m_leaving.IsLeaving(aDigest.m_backendServer);
  if (!m_leaving.Merge(aDigest, aNow)) {
    return;
  }
  SpreadLeaving(aDigest.m_backendServer, aNow);
  if (wasLeaving != aDigest.m_leaving) {
    ReportLeaving(aStep, aDigest.m_backendServer);
  }
}

void Membership::AddMember(Outcomes& aStep, const MemberDigest& aDigest, Time aNow) {
  const auto candidate = m_candidates.find(aDigest.m_entry);
  const bool mayBeNewToOthers = candidate != m_candidates.end() && candidate->second.m_introduced;
  if (candidate != m_candidates.end()) {
    m_candidates.erase(candidate);
  }
  Set(aStep, m_members[aDigest.m_entry], aDigest, aNow);
  if (mayBeNewToOthers) {
    SpreadIntroduction(aDigest.m_entry);
  }
}

void Membership::Set(Outcomes& aStep, Member& aMember, MemberDigest aDigest, Time aNow) {
  aMember.m_digest = std::move(aDigest);
  aMember.m_since = aNow;
  aMember.m_expiresAt = kNever;
  if (aMember.m_digest.m_state == MemberState::Suspect) {
    aMember.m_expiresAt = aNow + m_settings.m_suspicionTime;
  } else if (aMember.m_digest.m_state == MemberState::Dead) {
    aMember.m_expiresAt = aNow + m_settings.m_deadRetention;
    std::erase_if(m_probeResults, [&aMember](const ProbeResult& aResult) {
      return aResult.m_target == aMember.m_digest.m_entry;
    });
  }
  aStep.m_effects.emplace_back(RecordTimeline{MakeRecord(aMember.m_digest)});
  aStep.m_outcomes.emplace_back(MemberChanged{aMember.m_digest});
}

void Membership::Change(Outcomes& aStep, Member& aMember, MemberDigest aDigest, Time aNow) {
  Set(aStep, aMember, std::move(aDigest), aNow);
  SpreadMember(aMember.m_digest.m_entry, aNow);
}

void Membership::ReportLeaving(Outcomes& aStep, const BackendServerId& aServer) {
  const bool isLeaving = m_leaving.IsLeaving(aServer);
  TimelineRecord record;
  record.m_name = isLeaving ? "backend.leaving" : "backend.back";
  record.m_fields.emplace_back("backend_server", aServer);
  aStep.m_effects.emplace_back(RecordTimeline{std::move(record)});
  aStep.m_outcomes.emplace_back(BackendServerLeaving{aServer, isLeaving});
}

std::size_t Membership::OtherCount() const {
  return static_cast<std::size_t>(std::count_if(
    m_members.begin(), m_members.end(), [](const std::pair<const EntryId, Member>& aItem) {
      return aItem.second.m_digest.m_state != MemberState::Dead;
    }));
}

} // namespace fennelline

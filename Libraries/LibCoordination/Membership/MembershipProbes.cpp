#include "LibCoordination/Membership/Membership.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

/// Interval at which suspects and dead members are checked for expiry.
constexpr Duration kCheckInterval = Milliseconds(100);

} // namespace

void Membership::OnPing(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow) {
  MembershipDatagram ack = MakeDatagram(DatagramKind::Ack, aDatagram.m_number);
  const bool isIntroduction = std::any_of(
    aDatagram.m_members.begin(), aDatagram.m_members.end(),
    [&aDatagram](const MemberDigest& aDigest) { return aDigest.m_entry == aDatagram.m_from; });
  if (isIntroduction) {
    ack.m_members.push_back(m_self);
  }
  AddUpdates(ack, aDatagram.m_from, aNow);
  aStep.m_effects.emplace_back(SendDatagram{aDatagram.m_fromAddress, std::move(ack)});
}

void Membership::OnAck(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow) {
  const auto page = std::find(m_pageNumbers.begin(), m_pageNumbers.end(), aDatagram.m_number);
  const bool isPage = page != m_pageNumbers.end();
  if (isPage) {
    m_pageNumbers.erase(page);
    OnPage(aDatagram);
  }
  const auto candidate = m_candidates.find(aDatagram.m_from);
  const bool isVerified = candidate != m_candidates.end() &&
                          (isPage || (candidate->second.m_number != 0 &&
                                      candidate->second.m_number == aDatagram.m_number));
  if (isVerified) {
    const MemberDigest digest = candidate->second.m_digest;
    AddMember(aStep, digest, aNow);
  }
  if (m_probe && m_probe->m_number == aDatagram.m_number) {
    OnProbeAck(aStep, aDatagram, aNow);
  } else {
    OnRelayAck(aStep, aDatagram);
  }
}

void Membership::OnProbeAck(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow) {
  if (aDatagram.m_from == m_probe->m_target) {
    EndProbe(aStep, true, aNow);
    return;
  }
  // Another process answered at the address of the probed member, so that member is gone.
  const auto found = m_members.find(m_probe->m_target);
  m_probe.reset();
  if (found != m_members.end() && found->second.m_digest.m_state != MemberState::Dead) {
    MemberDigest dead = found->second.m_digest;
    dead.m_state = MemberState::Dead;
    Change(aStep, found->second, std::move(dead), aNow);
  }
}

void Membership::OnRelayAck(Outcomes& aStep, const MembershipDatagram& aDatagram) {
  const auto found =
    std::find_if(m_relays.begin(), m_relays.end(), [&aDatagram](const Relay& aRelay) {
      return aRelay.m_number == aDatagram.m_number && aRelay.m_request.m_target == aDatagram.m_from;
    });
  if (found == m_relays.end()) {
    return;
  }
  MembershipDatagram answer = MakeDatagram(DatagramKind::IndirectAck, found->m_request.m_number);
  answer.m_target = aDatagram.m_from;
  aStep.m_effects.emplace_back(SendDatagram{found->m_request.m_fromAddress, std::move(answer)});
  m_relays.erase(found);
}

void Membership::OnIndirectPing(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow) {
  std::erase_if(m_relays, [this, aNow](const Relay& aRelay) {
    return aNow - aRelay.m_sentAt > m_settings.m_probeTimeout;
  });
  m_relays.push_back({.m_number = ++m_lastNumber, .m_request = aDatagram, .m_sentAt = aNow});
  MembershipDatagram ping = MakeDatagram(DatagramKind::Ping, m_lastNumber);
  ping.m_target = aDatagram.m_target;
  AddUpdates(ping, aDatagram.m_target, aNow);
  aStep.m_effects.emplace_back(SendDatagram{aDatagram.m_targetAddress, std::move(ping)});
}

void Membership::OnIndirectAck(Outcomes& aStep, const MembershipDatagram& aDatagram, Time aNow) {
  const bool isOfProbe =
    m_probe && m_probe->m_number == aDatagram.m_number && m_probe->m_target == aDatagram.m_target;
  if (isOfProbe) {
    EndProbe(aStep, true, aNow);
  }
}

void Membership::ProbeIfDue(Outcomes& aStep, Time aNow) {
  if (m_probe && aNow - m_probe->m_sentAt >= m_settings.m_probeTimeout) {
    EndProbe(aStep, false, aNow);
  }
  if (m_probe && !m_probe->m_indirect && aNow - m_probe->m_sentAt >= m_settings.m_directTimeout) {
    ProbeIndirectly(aStep, aNow);
  }
  if (!m_probe && aNow >= m_nextProbe) {
    StartProbe(aStep, aNow);
  }
}

void Membership::StartProbe(Outcomes& aStep, Time aNow) {
  m_nextProbe = aNow + m_settings.m_probeInterval;
  const EntryId target = NextTarget();
  if (target.empty()) {
    return;
  }
  m_probe = Probe{.m_number = ++m_lastNumber, .m_target = target, .m_sentAt = aNow};
  MembershipDatagram ping = MakeDatagram(DatagramKind::Ping, m_lastNumber);
  ping.m_target = target;
  AddUpdates(ping, target, aNow);
  aStep.m_effects.emplace_back(
    SendDatagram{m_members.at(target).m_digest.m_datagramAddress, std::move(ping)});
}

void Membership::ProbeIndirectly(Outcomes& aStep, Time aNow) {
  m_probe->m_indirect = true;
  const auto target = m_members.find(m_probe->m_target);
  if (target == m_members.end()) {
    return;
  }
  for (const Member* helper : RandomMembers(m_settings.m_indirectProbes, m_probe->m_target)) {
    MembershipDatagram request = MakeDatagram(DatagramKind::IndirectPing, m_probe->m_number);
    request.m_target = m_probe->m_target;
    request.m_targetAddress = target->second.m_digest.m_datagramAddress;
    AddUpdates(request, helper->m_digest.m_entry, aNow);
    aStep.m_effects.emplace_back(
      SendDatagram{helper->m_digest.m_datagramAddress, std::move(request)});
  }
}

void Membership::EndProbe(Outcomes& aStep, bool aAnswered, Time aNow) {
  const EntryId target = m_probe->m_target;
  m_probe.reset();
  std::erase_if(m_probeResults,
                [&target](const ProbeResult& aResult) { return aResult.m_target == target; });
  m_probeResults.push_back({target, aAnswered});
  if (m_probeResults.size() > m_settings.m_probeWindow) {
    m_probeResults.pop_front();
  }
  const auto found = m_members.find(target);
  if (found == m_members.end()) {
    return;
  }
  if (!aAnswered) {
    Suspect(aStep, found->second, aNow);
  } else if (found->second.m_digest.m_state == MemberState::Leaving) {
    found->second.m_expiresAt = kNever;
  }
}

void Membership::Suspect(Outcomes& aStep, Member& aMember, Time aNow) {
  if (IsIsolated()) {
    return;
  }
  if (aMember.m_digest.m_state == MemberState::Leaving && aMember.m_expiresAt == kNever) {
    aMember.m_expiresAt = aNow + m_settings.m_suspicionTime;
  }
  if (aMember.m_digest.m_state == MemberState::Alive) {
    MemberDigest suspect = aMember.m_digest;
    suspect.m_state = MemberState::Suspect;
    Change(aStep, aMember, std::move(suspect), aNow);
  }
}

void Membership::CheckExpiry(Outcomes& aStep, Time aNow) {
  if (aNow < m_nextCheck) {
    return;
  }
  m_nextCheck = aNow + kCheckInterval;
  m_leaving.Expire(aNow);
  const bool isIsolated = IsIsolated();
  std::vector<EntryId> forgotten;
  for (auto& [entry, member] : m_members) {
    const bool isDead = member.m_digest.m_state == MemberState::Dead;
    if (isIsolated && !isDead && member.m_expiresAt != kNever) {
      // An isolated entry cannot receive a suspect's refutation either, so the suspicion is
      // extended.
      member.m_expiresAt = aNow + m_settings.m_suspicionTime;
    }
    if (aNow < member.m_expiresAt) {
      continue;
    }
    if (isDead) {
      forgotten.push_back(entry);
      continue;
    }
    MemberDigest dead = member.m_digest;
    dead.m_state = MemberState::Dead;
    Change(aStep, member, std::move(dead), aNow);
  }
  for (const EntryId& entry : forgotten) {
    m_members.erase(entry);
  }
}

void Membership::VerifyCandidates(Outcomes& aStep, Time aNow) {
  if (m_candidates.empty() || aNow < m_nextVerify) {
    return;
  }
  std::erase_if(m_candidates, [aNow](const std::pair<const EntryId, Candidate>& aItem) {
    return aItem.second.m_triesLeft == 0 && aNow >= aItem.second.m_nextTry;
  });
  const auto due = std::find_if(m_candidates.begin(), m_candidates.end(),
                                [aNow](const std::pair<const EntryId, Candidate>& aItem) {
                                  return aNow >= aItem.second.m_nextTry;
                                });
  if (due == m_candidates.end()) {
    return;
  }
  Candidate& candidate = due->second;
  m_nextVerify = aNow + m_settings.m_verifySpacing;
  candidate.m_nextTry = aNow + m_settings.m_verifyInterval;
  candidate.m_number = ++m_lastNumber;
  --candidate.m_triesLeft;
  MembershipDatagram ping = MakeDatagram(DatagramKind::Ping, m_lastNumber);
  ping.m_target = candidate.m_digest.m_entry;
  ping.m_members.push_back(m_self);
  aStep.m_effects.emplace_back(SendDatagram{candidate.m_digest.m_datagramAddress, std::move(ping)});
}

EntryId Membership::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!m_probeOrder.empty()) {
      const EntryId target = m_probeOrder.back();
      m_probeOrder.pop_back();
      const auto found = m_members.find(target);
      if (found != m_members.end() && found->second.m_digest.m_state != MemberState::Dead) {
        return target;
      }
    }
    for (const auto& [entry, member] : m_members) {
      m_probeOrder.push_back(entry);
    }
    for (std::size_t i = 1; i < m_probeOrder.size(); ++i) {
      std::swap(m_probeOrder[i], m_probeOrder[m_random.Below(i + 1)]);
    }
  }
  return {};
}

} // namespace fennelline

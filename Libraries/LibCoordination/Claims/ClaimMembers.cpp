#include "LibCoordination/Claims/ClaimMembers.h"

#include <set>
#include <utility>

namespace fennelline {

ClaimMembers::ClaimMembers(const ClaimSettings& aSettings, EntryId aSelf, DataCentre aDataCentre)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_dataCentre(std::move(aDataCentre)) {
  m_members[m_self] = {.m_state = MemberState::Alive, .m_dataCentre = m_dataCentre};
}

void ClaimMembers::Update(std::span<const MemberDigest> aMembers, Time aNow) {
  std::map<EntryId, Member> members;
  for (const MemberDigest& digest : aMembers) {
    members[digest.m_entry] = {.m_state = digest.m_state, .m_dataCentre = digest.m_dataCentre};
    m_missingSince.erase(digest.m_entry);
  }
  // This entry is running, whatever state others report for it. Only Leaving is accepted.
  Member& self = members[m_self];
  self.m_dataCentre = m_dataCentre;
  if (self.m_state != MemberState::Leaving) {
    self.m_state = MemberState::Alive;
  }
  for (const std::pair<const EntryId, Member>& known : m_members) {
    if (!members.contains(known.first)) {
      m_missingSince.try_emplace(known.first, aNow);
    }
  }
  m_members = std::move(members);
  ++m_version;
  CountDataCentres();
}

bool ClaimMembers::IsGone(const EntryId& aEntry, Time aNow) {
  const auto member = m_members.find(aEntry);
  if (member != m_members.end()) {
    return member->second.m_state == MemberState::Dead;
  }
  const Time since = m_missingSince.try_emplace(aEntry, aNow).first->second;
  return aNow - since >= m_settings.m_absentDelay;
}

bool ClaimMembers::IsLeaving(const EntryId& aEntry) const {
  const auto member = m_members.find(aEntry);
  return member != m_members.end() && member->second.m_state == MemberState::Leaving;
}

bool ClaimMembers::IsAlive(const EntryId& aEntry) const {
  const auto member = m_members.find(aEntry);
  return member != m_members.end() && member->second.m_state == MemberState::Alive;
}

DataCentre ClaimMembers::DataCentreOf(const EntryId& aEntry) const {
  const auto member = m_members.find(aEntry);
  return member == m_members.end() ? DataCentre() : member->second.m_dataCentre;
}

void ClaimMembers::CountDataCentres() {
  std::set<DataCentre> dataCentres;
  for (const std::pair<const EntryId, Member>& member : m_members) {
    if (member.second.m_state == MemberState::Alive) {
      dataCentres.insert(member.second.m_dataCentre);
    }
  }
  m_aliveDataCentres = dataCentres.size();
}

} // namespace fennelline

#include "LibCoordination/Usage/UsagePeers.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace fennelline {

namespace {

struct Candidate {
  bool m_isNear = false;
  std::size_t m_score = 0;
  EntryId m_entry;
};

} // namespace

UsagePeers::UsagePeers(EntryId aSelf, DataCentre aDataCentre)
  : m_self(std::move(aSelf))
  , m_dataCentre(std::move(aDataCentre)) {}

void UsagePeers::Update(std::span<const MemberDigest> aMembers) {
  std::map<EntryId, MemberState> states;
  std::vector<Candidate> candidates;
  m_isFirst = true;
  for (const MemberDigest& digest : aMembers) {
    states[digest.m_entry] = digest.m_state;
    if (digest.m_entry == m_self || digest.m_state != MemberState::Alive) {
      continue;
    }
    m_isFirst = m_isFirst && m_self < digest.m_entry;
    candidates.push_back({.m_isNear = digest.m_dataCentre == m_dataCentre,
                          .m_score = std::hash<std::string>()(m_self + ":" + digest.m_entry),
                          .m_entry = digest.m_entry});
  }
  std::sort(
    candidates.begin(), candidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
      return std::tie(aLeft.m_isNear, aLeft.m_score) < std::tie(aRight.m_isNear, aRight.m_score);
    });
  m_orderedPeers.clear();
  for (Candidate& candidate : candidates) {
    m_orderedPeers.push_back(std::move(candidate.m_entry));
  }
  m_states = std::move(states);
}

EntryId UsagePeers::PeerAt(std::size_t aTry) const {
  return aTry < m_orderedPeers.size() ? m_orderedPeers[aTry] : EntryId();
}

Duration UsagePeers::GoneFor(const EntryId& aEntry, Time aNow) {
  const auto state = m_states.find(aEntry);
  const bool isHere = state != m_states.end() && state->second != MemberState::Dead;
  if (isHere || aEntry == m_self) {
    m_goneSince.erase(aEntry);
    return Duration(0);
  }
  return aNow - m_goneSince.try_emplace(aEntry, aNow).first->second;
}

} // namespace fennelline

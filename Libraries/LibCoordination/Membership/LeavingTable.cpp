#include "LibCoordination/Membership/LeavingTable.h"

namespace fennelline {

bool LeavingTable::Mark(const BackendServerId& aServer, Time aNow) {
  LeavingMark& mark = m_marks[aServer];
  // A mark that still holds is renewed before it expires at the other entries.
  const bool isOld = aNow - mark.m_since > m_settings.m_life / 2;
  const bool isNews = !mark.m_leaving || isOld;
  if (isNews) {
    ++mark.m_version;
    mark.m_leaving = true;
    mark.m_since = aNow;
  }
  return isNews;
}

bool LeavingTable::Clear(const BackendServerId& aServer, Time aNow) {
  const auto found = m_marks.find(aServer);
  if (found == m_marks.end() || !found->second.m_leaving) {
    return false;
  }
  LeavingMark& mark = found->second;
  if (aNow - mark.m_since < m_settings.m_hold) {
    return false;
  }
  ++mark.m_version;
  mark.m_leaving = false;
  mark.m_since = aNow;
  return true;
}

bool LeavingTable::Merge(const LeavingDigest& aDigest, Time aNow) {
  const Duration age = Milliseconds(aDigest.m_ageMilliseconds);
  if (age >= m_settings.m_life || aDigest.m_version == 0) {
    return false;
  }
  LeavingMark& mark = m_marks[aDigest.m_backendServer];
  const bool sameVersion = aDigest.m_version == mark.m_version;
  const bool isNews =
    aDigest.m_version > mark.m_version || (sameVersion && aDigest.m_leaving && !mark.m_leaving);
  if (isNews) {
    mark = LeavingMark{aDigest.m_version, aDigest.m_leaving, aNow - age};
  }
  return isNews;
}

bool LeavingTable::IsLeaving(const BackendServerId& aServer) const {
  const auto found = m_marks.find(aServer);
  return found != m_marks.end() && found->second.m_leaving;
}

std::vector<BackendServerId> LeavingTable::Servers() const {
  std::vector<BackendServerId> servers;
  for (const auto& [server, mark] : m_marks) {
    if (mark.m_leaving) {
      servers.push_back(server);
    }
  }
  return servers;
}

std::optional<LeavingDigest> LeavingTable::Digest(const BackendServerId& aServer, Time aNow) const {
  const auto found = m_marks.find(aServer);
  if (found == m_marks.end()) {
    return std::nullopt;
  }
  return MakeDigest(aServer, found->second, aNow);
}

std::vector<LeavingDigest> LeavingTable::Page(const BackendServerId& aAfter,
                                              const BackendServerId& aUpTo, std::size_t aMost,
                                              Time aNow) const {
  std::vector<LeavingDigest> page;
  for (auto mark = m_marks.upper_bound(aAfter); mark != m_marks.end(); ++mark) {
    const bool isPastEnd = !aUpTo.empty() && mark->first > aUpTo;
    if (isPastEnd || page.size() == aMost) {
      break;
    }
    page.push_back(MakeDigest(mark->first, mark->second, aNow));
  }
  return page;
}

void LeavingTable::Expire(Time aNow) {
  std::erase_if(m_marks, [this, aNow](const std::pair<const BackendServerId, LeavingMark>& aItem) {
    return aNow - aItem.second.m_since >= m_settings.m_life;
  });
}

LeavingDigest LeavingTable::MakeDigest(const BackendServerId& aServer, const LeavingMark& aMark,
                                       Time aNow) const {
  LeavingDigest digest;
  digest.m_backendServer = aServer;
  digest.m_version = aMark.m_version;
  digest.m_leaving = aMark.m_leaving;
  digest.m_ageMilliseconds = InMilliseconds(aNow - aMark.m_since);
  return digest;
}

} // namespace fennelline

#include "LibCoordination/Rollout/EvidencePool.h"

#include <algorithm>

namespace fennelline {

std::map<std::string, ClusterCount> EvidencePool::Take(
  const EntryId& aEntry, const std::vector<VersionEvidence>& aEvidence) {
  std::map<std::string, ClusterCount> increments;
  m_entries.insert(aEntry);
  for (const VersionEvidence& evidence : aEvidence) {
    ClusterCount& seen = m_seen[{aEntry, evidence.m_version, evidence.m_kind}];
    // An answer that was overtaken by a later one has lower counts and adds nothing.
    const std::int64_t clusters = std::max<std::int64_t>(0, evidence.m_sessions - seen.m_clusters);
    const std::int64_t bad = std::max<std::int64_t>(0, evidence.m_badSessions - seen.m_bad);
    seen.m_clusters += clusters;
    seen.m_bad += bad;
    ClusterCount& increment = increments[evidence.m_version];
    increment.m_clusters += clusters;
    increment.m_bad += bad;
    ClusterCount& total = m_totals[evidence.m_version];
    total.m_clusters += clusters;
    total.m_bad += bad;
  }
  return increments;
}

ClusterCount EvidencePool::Total(const std::string& aVersion) const {
  const auto found = m_totals.find(aVersion);
  return found == m_totals.end() ? ClusterCount{} : found->second;
}

} // namespace fennelline

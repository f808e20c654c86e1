#include "LibCoordination/Rollout/EvidencePool.h"

#include <algorithm>

namespace fennelline {

std::map<std::string, ClusterCount> EvidencePool::Take(
  const EntryId& aEntry, const std::vector<VersionEvidence>& aEvidence) {
  std::map<std::string, ClusterCount> news;
  m_entries.insert(aEntry);
  for (const VersionEvidence& evidence : aEvidence) {
    ClusterCount& seen = m_seen[{aEntry, evidence.m_version, evidence.m_kind}];
    // An answer that was overtaken by a later one is lower and adds nothing.
    const std::int64_t clusters = std::max<std::int64_t>(0, evidence.m_sessions - seen.m_clusters);
    const std::int64_t bad = std::max<std::int64_t>(0, evidence.m_badSessions - seen.m_bad);
    seen.m_clusters += clusters;
    seen.m_bad += bad;
    ClusterCount& growth = news[evidence.m_version];
    growth.m_clusters += clusters;
    growth.m_bad += bad;
    ClusterCount& total = m_totals[evidence.m_version];
    total.m_clusters += clusters;
    total.m_bad += bad;
  }
  return news;
}

ClusterCount EvidencePool::Total(const std::string& aVersion) const {
  const auto found = m_totals.find(aVersion);
  return found == m_totals.end() ? ClusterCount{} : found->second;
}

} // namespace fennelline

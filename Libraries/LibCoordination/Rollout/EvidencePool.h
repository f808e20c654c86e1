#pragma once

#include "LibCoordination/Identity.h"
#include "LibCoordination/ObservationMessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace fennelline {

/// Clusters (sessions; a request without a session is one of its own) and how many were bad.
struct ClusterCount {
  std::int64_t m_clusters = 0;
  std::int64_t m_bad = 0;
};

/// Pools what the entries have seen of each version. The entries' counts only grow, so each is
/// taken as its growth since the last look: nothing is counted twice, and what a dead entry told
/// stays.
class EvidencePool {
public:
  /// Takes an entry's counts; returns what is new, by version.
  std::map<std::string, ClusterCount> Take(const EntryId& aEntry,
                                           const std::vector<VersionEvidence>& aEvidence);
  bool Knows(const EntryId& aEntry) const { return m_entries.contains(aEntry); }
  /// Everything taken so far of one version.
  ClusterCount Total(const std::string& aVersion) const;

private:
  struct Source {
    EntryId m_entry;
    std::string m_version;
    std::string m_kind;

    friend bool operator<(const Source& aOne, const Source& aOther) {
      return std::tie(aOne.m_entry, aOne.m_version, aOne.m_kind) <
             std::tie(aOther.m_entry, aOther.m_version, aOther.m_kind);
    }
  };

  std::set<EntryId> m_entries;
  std::map<Source, ClusterCount> m_seen;
  std::map<std::string, ClusterCount> m_totals;
};

} // namespace fennelline

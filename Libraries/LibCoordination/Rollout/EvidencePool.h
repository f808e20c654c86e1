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

/// The number of clusters (sessions; a request without a session is a cluster of its own) and how
/// many of them were bad.
struct ClusterCount {
  std::int64_t m_clusters = 0;
  std::int64_t m_bad = 0;
};

/// Aggregates what the entries have observed of each version. The counters of the entries are
/// monotonic, so each contributes its increase since the last read: nothing is counted twice, and
/// the contribution of a dead entry is kept.
class EvidencePool {
public:
  /// Adds the counters of an entry and returns the increase by version.
  std::map<std::string, ClusterCount> Take(const EntryId& aEntry,
                                           const std::vector<VersionEvidence>& aEvidence);
  bool Knows(const EntryId& aEntry) const { return m_entries.contains(aEntry); }
  /// The total for one version so far.
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

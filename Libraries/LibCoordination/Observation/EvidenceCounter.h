#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/ObservationMessages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelline {

/// How one request ended, as far as its version is responsible.
struct AnswerEvidence {
  bool m_error = false;
  bool m_crash = false;
  bool m_late = false;
  std::int64_t m_costMicros = 0;
  Duration m_time{0};
};

/// Counts what this entry has observed of each (version, kind), for the holder of the rollout
/// lease. Counters are monotonic, so the holder can read them at any time and subtract what it has
/// read before.
///
/// A cluster is a session, or a request without one. m_sessions counts the clusters that were
/// chosen for rating and have at least one rated or failed answer. ChosenForRating() alone decides
/// which clusters are chosen, before anything is known of their answers. The share of bad clusters
/// among those counted is therefore unbiased, whatever share is rated.
class EvidenceCounter {
public:
  /// Chooses this share of the clusters for rating.
  explicit EvidenceCounter(double aRatedShare)
    : m_ratedShare(aRatedShare) {}

  /// Whether answers of this cluster are to be rated. Gives the same result at every entry.
  bool ChosenForRating(const std::string& aCluster) const;
  void SetRatedShare(double aShare) { m_ratedShare = aShare; }

  /// A request of the cluster (its session, or its own key) has ended.
  void OnAnswer(const std::string& aVersion, const std::string& aKind, const std::string& aCluster,
                const AnswerEvidence& aEvidence, Time aNow);
  void OnRating(const std::string& aVersion, const std::string& aKind, const std::string& aCluster,
                bool aGood, Time aNow);

  std::vector<VersionEvidence> Evidence() const;
  std::size_t RememberedClusters() const { return m_clusters.size(); }

private:
  struct Cluster {
    bool m_bad = false;
  };
  VersionEvidence& RowOf(const std::string& aVersion, const std::string& aKind);
  void CountCluster(VersionEvidence& aRow, const std::string& aCluster, bool aBad);

  double m_ratedShare;
  std::map<std::pair<std::string, std::string>, VersionEvidence> m_rows;
  /// Counted clusters by "VERSION KIND CLUSTER", and their order, oldest first.
  std::unordered_map<std::string, Cluster> m_clusters;
  std::deque<std::string> m_order;
};

} // namespace fennelline

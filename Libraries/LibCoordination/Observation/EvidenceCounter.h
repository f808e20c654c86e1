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

/// How one request ended, as far as its version is to blame.
struct AnswerEvidence {
  bool m_error = false;
  bool m_crash = false;
  bool m_late = false;
  std::int64_t m_costMicros = 0;
  Duration m_time{0};
};

/// Counts what this entry has seen of each (version, kind), for the roll-out holder. Counts only
/// grow, so that the holder may read them at any time and subtract what it has read before.
///
/// m_sessions counts clusters that were judged: a session, or a request without one, of which at
/// least one answer was rated or failed while its cluster was chosen for rating. Whether a cluster
/// is chosen is decided by ChosenForRating() alone, before anything is known of its answers. So
/// the share of bad clusters among those counted is an unbiased one, whatever share is rated.
class EvidenceCounter {
public:
  /// aRatedShare of the clusters are chosen for rating.
  explicit EvidenceCounter(double aRatedShare)
    : m_ratedShare(aRatedShare) {}

  /// Whether answers of this cluster are to be rated. The same at every entry.
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
  void JudgeCluster(VersionEvidence& aRow, const std::string& aCluster, bool aBad);

  double m_ratedShare;
  std::map<std::pair<std::string, std::string>, VersionEvidence> m_rows;
  /// Judged clusters by "VERSION KIND CLUSTER", and their order, oldest first.
  std::unordered_map<std::string, Cluster> m_clusters;
  std::deque<std::string> m_order;
};

} // namespace fennelline

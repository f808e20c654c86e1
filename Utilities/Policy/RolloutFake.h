#pragma once

#include "LibBase/Random.h"
#include "LibDecision/ChangeDetector.h"
#include "LibDecision/ExposureGate.h"
#include "LibDecision/SequentialTest.h"

#include <cstddef>
#include <cstdint>
#include <queue>
#include <vector>

namespace fennelline {

/// Traffic of one model and the rating of its answers.
struct RolloutFakeSettings {
  double m_requestsPerSecond = 40.0;
  std::size_t m_entries = 8;
  /// The share of bad answers of the version before, and of the new one.
  double m_oldBadRate = 0.02;
  double m_newBadRate = 0.02;
  /// The share of clusters that are sessions, and how many requests a session has on average.
  double m_sessionShare = 0.3;
  double m_sessionLength = 4.0;
  /// Answers of a session are bad together: the smaller, the more.
  double m_sessionConcentration = 3.0;
  /// Mean delay of a rating; half of it is fixed.
  double m_ratingDelaySeconds = 20.0;
  /// Mean time between the requests of a session.
  double m_thinkSeconds = 15.0;
  /// Counts are pooled this often, and a withdrawal is in force everywhere after this.
  double m_poolSeconds = 1.0;
  double m_withdrawSeconds = 3.0;
};

/// Counts that a roll-out has pooled.
struct RolloutCounts {
  std::int64_t m_exposed = 0;
  std::int64_t m_judged = 0;
  std::int64_t m_clusters = 0;
  std::int64_t m_badClusters = 0;
};

/// The new version's traffic: clusters start at a share of the traffic as far as the gate lets
/// them, their answers are rated late. The caller decides from Counts() and sets the share.
class RolloutFake {
public:
  RolloutFake(RolloutFakeSettings aSettings, std::uint64_t aSeed)
    : m_settings(aSettings)
    , m_random(aSeed)
    , m_entries(aSettings.m_entries) {}

  /// Runs until the given second.
  void RunUntil(double aSecond);
  void SetShare(double aShare, double aRatedShare, bool aGated) {
    m_share = aShare;
    m_ratedShare = aRatedShare;
    m_gated = aGated;
  }
  void SetBadRate(double aRate) { m_settings.m_newBadRate = aRate; }
  void StopSessions() { m_stopped = true; }
  const RolloutCounts& Counts() const { return m_counts; }
  /// The rate of bad clusters among so many of the version before.
  double ControlRate(std::int64_t aClusters);

private:
  struct Cluster {
    std::size_t m_entry = 0;
    std::int64_t m_left = 0;
    double m_badRate = 0.0;
    bool m_rated = false;
    bool m_judged = false;
    bool m_bad = false;
  };
  struct EntryCounts {
    std::int64_t m_unjudged = 0;
    std::int64_t m_judged = 0;
  };
  struct Event {
    double m_at = 0.0;
    std::size_t m_cluster = 0;
    bool m_isRating = false;
    bool m_bad = false;
    bool operator>(const Event& aOther) const { return m_at > aOther.m_at; }
  };

  double ClusterArrivalsPerSecond() const;
  Cluster MakeCluster(double aBadRate);
  double DrawClusterRate(double aBadRate);
  double Gamma(double aShape);
  void StartCluster();
  void RunRequest(std::size_t aCluster);
  void OnRating(const Event& aEvent);

  RolloutFakeSettings m_settings;
  Random m_random;
  double m_now = 0.0;
  double m_nextArrival = 0.0;
  double m_share = 0.0;
  double m_ratedShare = 1.0;
  bool m_gated = false;
  bool m_stopped = false;
  RolloutCounts m_counts;
  std::vector<EntryCounts> m_entries;
  std::vector<Cluster> m_clusters;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

} // namespace fennelline

#include "Utilities/Policy/RolloutFake.h"

#include <algorithm>
#include <cmath>

namespace fennelline {

double RolloutFake::ClusterArrivalsPerSecond() const {
  const double length =
    1.0 + m_settings.m_sessionShare * (std::max(1.0, m_settings.m_sessionLength) - 1.0);
  return m_settings.m_requestsPerSecond / length;
}

/// Marsaglia and Tsang's method, with the usual step for shapes below one.
double RolloutFake::Gamma(double aShape) {
  if (aShape < 1.0) {
    return Gamma(aShape + 1.0) * std::pow(m_random.Uniform(), 1.0 / aShape);
  }
  const double d = aShape - 1.0 / 3.0;
  const double c = 1.0 / std::sqrt(9.0 * d);
  while (true) {
    const double x = m_random.Normal();
    const double v = std::pow(1.0 + c * x, 3.0);
    if (v > 0.0 && std::log(m_random.Uniform()) < 0.5 * x * x + d - d * v + d * std::log(v)) {
      return d * v;
    }
  }
}

/// The bad rate of one session: beta distributed around the version's.
double RolloutFake::DrawClusterRate(double aBadRate) {
  const double bad = Gamma(aBadRate * m_settings.m_sessionConcentration);
  const double good = Gamma((1.0 - aBadRate) * m_settings.m_sessionConcentration);
  return bad / (bad + good);
}

RolloutFake::Cluster RolloutFake::MakeCluster(double aBadRate) {
  Cluster cluster{.m_entry = m_random.Below(m_settings.m_entries),
                  .m_left = 1,
                  .m_badRate = aBadRate,
                  .m_rated = m_random.Chance(m_ratedShare)};
  if (m_random.Chance(m_settings.m_sessionShare)) {
    cluster.m_left = 1 + std::llround(m_random.Exponential(m_settings.m_sessionLength - 1.0));
    cluster.m_badRate = DrawClusterRate(aBadRate);
  }
  return cluster;
}

double RolloutFake::ControlRate(std::int64_t aClusters) {
  std::int64_t bad = 0;
  for (std::int64_t index = 0; index < aClusters; ++index) {
    const Cluster cluster = MakeCluster(m_settings.m_oldBadRate);
    bool isBad = false;
    for (std::int64_t answer = 0; answer < cluster.m_left; ++answer) {
      isBad = isBad || m_random.Chance(cluster.m_badRate);
    }
    bad += isBad ? 1 : 0;
  }
  return static_cast<double>(bad) / static_cast<double>(aClusters);
}

void RolloutFake::StartCluster() {
  Cluster cluster = MakeCluster(m_settings.m_newBadRate);
  const EntryCounts& entry = m_entries[cluster.m_entry];
  const bool passes = !m_gated || MayExpose(ExposureGatePlan{}, entry.m_unjudged, entry.m_judged,
                                            m_settings.m_entries);
  if (!passes) {
    return;
  }
  m_clusters.push_back(cluster);
  RunRequest(m_clusters.size() - 1);
}

void RolloutFake::RunRequest(std::size_t aCluster) {
  Cluster& cluster = m_clusters[aCluster];
  if (m_stopped) {
    return;
  }
  ++m_counts.m_exposed;
  --cluster.m_left;
  const bool bad = m_random.Chance(cluster.m_badRate);
  if (cluster.m_rated) {
    ++m_entries[cluster.m_entry].m_unjudged;
    const double half = m_settings.m_ratingDelaySeconds / 2.0;
    m_events.push({m_now + half + m_random.Exponential(half), aCluster, true, bad});
  }
  if (cluster.m_left > 0) {
    m_events.push(
      {m_now + m_random.Exponential(m_settings.m_thinkSeconds), aCluster, false, false});
  }
}

void RolloutFake::OnRating(const Event& aEvent) {
  Cluster& cluster = m_clusters[aEvent.m_cluster];
  --m_entries[cluster.m_entry].m_unjudged;
  ++m_entries[cluster.m_entry].m_judged;
  ++m_counts.m_judged;
  m_counts.m_clusters += cluster.m_judged ? 0 : 1;
  m_counts.m_badClusters += aEvent.m_bad && !cluster.m_bad ? 1 : 0;
  cluster.m_judged = true;
  cluster.m_bad = cluster.m_bad || aEvent.m_bad;
}

void RolloutFake::RunUntil(double aSecond) {
  while (true) {
    const bool eventFirst = !m_events.empty() && m_events.top().m_at <= m_nextArrival;
    const double next = eventFirst ? m_events.top().m_at : m_nextArrival;
    if (next > aSecond) {
      m_now = aSecond;
      return;
    }
    m_now = next;
    if (!eventFirst) {
      m_nextArrival = m_now + m_random.Exponential(1.0 / ClusterArrivalsPerSecond());
      if (!m_stopped && m_random.Chance(m_share)) {
        StartCluster();
      }
      continue;
    }
    const Event event = m_events.top();
    m_events.pop();
    if (event.m_isRating) {
      OnRating(event);
    } else {
      RunRequest(event.m_cluster);
    }
  }
}

} // namespace fennelline

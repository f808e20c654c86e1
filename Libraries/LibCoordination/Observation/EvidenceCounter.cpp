#include "LibCoordination/Observation/EvidenceCounter.h"

#include "LibBase/StableHash.h"

#include <functional>

namespace fennelline {

namespace {

/// Maximum number of remembered clusters. One that is dropped and judged again counts twice.
constexpr std::size_t kMaxClusters = 20'000;

} // namespace

bool EvidenceCounter::ChosenForRating(const std::string& aCluster) const {
  constexpr double kTwoToMinus53 = 0x1.0p-53;
  const double position = static_cast<double>(StableHash(aCluster) >> 11U) * kTwoToMinus53;
  return position < m_ratedShare;
}

VersionEvidence& EvidenceCounter::RowOf(const std::string& aVersion, const std::string& aKind) {
  VersionEvidence& row = m_rows[{aVersion, aKind}];
  row.m_version = aVersion;
  row.m_kind = aKind;
  return row;
}

void EvidenceCounter::CountCluster(VersionEvidence& aRow, const std::string& aCluster, bool aBad) {
  std::string key = aRow.m_version + " " + aRow.m_kind + " " + aCluster;
  const auto [found, isNew] = m_clusters.try_emplace(std::move(key));
  if (isNew) {
    ++aRow.m_sessions;
    m_order.push_back(found->first);
  }
  if (aBad && !found->second.m_bad) {
    found->second.m_bad = true;
    ++aRow.m_badSessions;
  }
  if (m_order.size() > kMaxClusters) {
    m_clusters.erase(m_order.front());
    m_order.pop_front();
  }
}

void EvidenceCounter::OnAnswer(const std::string& aVersion, const std::string& aKind,
                               const std::string& aCluster, const AnswerEvidence& aEvidence,
                               Time /*aNow*/) {
  VersionEvidence& row = RowOf(aVersion, aKind);
  ++row.m_requests;
  row.m_errors += aEvidence.m_error ? 1 : 0;
  row.m_crashes += aEvidence.m_crash ? 1 : 0;
  row.m_late += aEvidence.m_late ? 1 : 0;
  row.m_costMicros += aEvidence.m_costMicros;
  row.m_milliseconds += InMilliseconds(aEvidence.m_time);
  // Late answers can also be caused by load, so they have a test of their own and make no cluster
  // bad.
  if ((aEvidence.m_error || aEvidence.m_crash) && ChosenForRating(aCluster)) {
    CountCluster(row, aCluster, true);
  }
}

void EvidenceCounter::OnRating(const std::string& aVersion, const std::string& aKind,
                               const std::string& aCluster, bool aGood, Time /*aNow*/) {
  VersionEvidence& row = RowOf(aVersion, aKind);
  ++row.m_rated;
  row.m_ratedBad += aGood ? 0 : 1;
  CountCluster(row, aCluster, !aGood);
}

std::vector<VersionEvidence> EvidenceCounter::Evidence() const {
  std::vector<VersionEvidence> rows;
  rows.reserve(m_rows.size());
  for (const auto& [name, row] : m_rows) {
    rows.push_back(row);
  }
  return rows;
}

} // namespace fennelline

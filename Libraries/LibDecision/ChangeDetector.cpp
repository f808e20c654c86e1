#include "LibDecision/ChangeDetector.h"

#include <algorithm>
#include <numeric>

namespace fennelline {

void ChangeDetector::AddOne(bool aBad) {
  for (std::size_t index = 0; index < m_sums.size(); ++index) {
    const double rate = std::min(kMaxBadRate, m_plan.m_goodRate * kBadRateMultiples[index]);
    const double ratio = aBad ? rate / m_plan.m_goodRate : (1.0 - rate) / (1.0 - m_plan.m_goodRate);
    m_sums[index] = (m_sums[index] + 1.0) * ratio;
  }
  m_changed = m_changed || Evidence() >= m_plan.m_clustersPerFalseAlarm;
}

void ChangeDetector::Add(std::int64_t aClusters, std::int64_t aBad) {
  // The order within a batch is unknown. Good clusters first would give the bad ones their full
  // weight, bad ones first would not; spreading the bad ones evenly keeps the stated false alarm
  // rate.
  std::int64_t placed = 0;
  const std::int64_t clusters = std::max(aClusters, aBad);
  for (std::int64_t index = 1; index <= clusters; ++index) {
    const bool isBad = placed * clusters < aBad * index;
    placed += isBad ? 1 : 0;
    AddOne(isBad);
  }
}

double ChangeDetector::Evidence() const {
  return std::accumulate(m_sums.begin(), m_sums.end(), 0.0) / static_cast<double>(m_sums.size());
}

} // namespace fennelline

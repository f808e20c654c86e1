#include "LibRouting/StreamPace.h"

#include <algorithm>

namespace fennelline {

void StreamPace::OnEvent(Time aNow) {
  if (m_lastEvent != Time{} && m_count < kMaxGaps) {
    m_gaps[m_count++] = aNow - m_lastEvent;
  }
  m_lastEvent = aNow;
}

Duration StreamPace::Value() const {
  if (m_count < kMinGaps) {
    return Duration(0);
  }
  std::array<Duration, kMaxGaps> sorted = m_gaps;
  const auto quantile = sorted.begin() + static_cast<std::ptrdiff_t>(m_count / kQuantileDivisor);
  std::nth_element(sorted.begin(), quantile, sorted.begin() + static_cast<std::ptrdiff_t>(m_count));
  return *quantile;
}

} // namespace fennelline

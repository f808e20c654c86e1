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
  return m_count < kMinGaps ? Duration(0) : Ranked(m_count, m_count / kQuantileDivisor);
}

Duration StreamPace::LeastMedian() const {
  const std::size_t count = std::min(m_count, kMedianGaps);
  const std::size_t missing = kMedianGaps - count;
  return count <= kMedianGaps / 2 ? Duration(0) : Ranked(count, kMedianGaps / 2 - missing);
}

Duration StreamPace::Ranked(std::size_t aCount, std::size_t aIndex) const {
  std::array<Duration, kMaxGaps> sorted = m_gaps;
  const auto ranked = sorted.begin() + static_cast<std::ptrdiff_t>(aIndex);
  std::nth_element(sorted.begin(), ranked, sorted.begin() + static_cast<std::ptrdiff_t>(aCount));
  return *ranked;
}

} // namespace fennelline

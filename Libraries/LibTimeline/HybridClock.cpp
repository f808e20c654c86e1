#include "LibTimeline/HybridClock.h"

#include <algorithm>

namespace fennelline {

std::uint64_t HybridClock::Now(Time aNow) {
  m_last = std::max(m_last + 1, ValueOf(aNow));
  return m_last;
}

bool HybridClock::Observe(std::uint64_t aRemote, Time aNow) {
  if (aRemote > ValueOf(aNow + kMaxAhead)) {
    return false;
  }
  m_last = std::max(m_last, aRemote);
  return true;
}

Time HybridClock::TimeOf(std::uint64_t aValue) {
  return Time(Duration(static_cast<std::int64_t>(aValue >> kCounterBits)));
}

std::uint64_t HybridClock::ValueOf(Time aTime) {
  const std::int64_t microseconds = std::max<std::int64_t>(0, aTime.time_since_epoch().count());
  return static_cast<std::uint64_t>(microseconds) << kCounterBits;
}

} // namespace fennelline

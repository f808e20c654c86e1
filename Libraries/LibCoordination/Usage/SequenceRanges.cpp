#include "LibCoordination/Usage/SequenceRanges.h"

#include <algorithm>
#include <iterator>

namespace fennelline {

void SequenceRanges::AddRange(std::uint64_t aFirst, std::uint64_t aLast) {
  std::uint64_t first = aFirst;
  std::uint64_t last = aLast;
  auto next = m_ranges.upper_bound(first);
  if (next != m_ranges.begin() && std::prev(next)->second + 1 >= first) {
    --next;
  }
  while (next != m_ranges.end() && next->first <= last + 1) {
    first = std::min(first, next->first);
    last = std::max(last, next->second);
    next = m_ranges.erase(next);
  }
  m_ranges[first] = last;
}

bool SequenceRanges::Contains(std::uint64_t aNumber) const {
  const auto next = m_ranges.upper_bound(aNumber);
  return next != m_ranges.begin() && std::prev(next)->second >= aNumber;
}

std::uint64_t SequenceRanges::ContiguousUpTo() const {
  const auto first = m_ranges.find(1);
  return first == m_ranges.end() ? 0 : first->second;
}

} // namespace fennelline

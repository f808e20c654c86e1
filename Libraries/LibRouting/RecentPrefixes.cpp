#include "LibRouting/RecentPrefixes.h"

#include <utility>

namespace fennelline {

namespace {

/// A prefix that was not used for so long may have yielded to others.
constexpr Duration kBelievedTime = Seconds(30);

/// Prefixes remembered for one server; the caches of engines hold fewer long ones.
constexpr std::size_t kMostPrefixes = 1024;

} // namespace

void RecentPrefixes::OnSent(std::uint64_t aPrefix, Time aNow) {
  if (m_sent.size() >= kMostPrefixes) {
    std::erase_if(m_sent, [aNow](const std::pair<const std::uint64_t, Time>& aItem) {
      return aNow - aItem.second > kBelievedTime / 2;
    });
  }
  if (m_sent.size() < kMostPrefixes) {
    m_sent[aPrefix] = aNow;
  }
}

bool RecentPrefixes::Holds(std::uint64_t aPrefix, Time aNow) const {
  const auto found = m_sent.find(aPrefix);
  return found != m_sent.end() && aNow - found->second <= kBelievedTime;
}

} // namespace fennelline

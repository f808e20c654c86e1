#include "LibRouting/RecentPrefixes.h"

#include <utility>

namespace fennelline {

namespace {

/// A prefix that was not used for this long may have been evicted.
constexpr Duration kAssumedCachedTime = Seconds(30);

/// Maximum number of prefixes per server; engine caches hold fewer long ones.
constexpr std::size_t kMaxPrefixes = 1024;

} // namespace

void RecentPrefixes::OnSent(std::uint64_t aPrefix, Time aNow) {
  if (m_sent.size() >= kMaxPrefixes) {
    std::erase_if(m_sent, [aNow](const std::pair<const std::uint64_t, Time>& aItem) {
      return aNow - aItem.second > kAssumedCachedTime / 2;
    });
  }
  if (m_sent.size() < kMaxPrefixes) {
    m_sent[aPrefix] = aNow;
  }
}

bool RecentPrefixes::Holds(std::uint64_t aPrefix, Time aNow) const {
  const auto found = m_sent.find(aPrefix);
  return found != m_sent.end() && aNow - found->second <= kAssumedCachedTime;
}

} // namespace fennelline

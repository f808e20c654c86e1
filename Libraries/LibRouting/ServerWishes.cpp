#include "LibRouting/ServerWishes.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

/// A server that has said that it is leaving ends within a minute or so. Its entry in the store may
/// come back for as long as a store outage takes.
constexpr Duration kLeavingMemory = Seconds(600);

/// The entries return within this fraction of the wait, but within the bounds.
constexpr double kReturnFraction = 0.25;
constexpr Duration kMinReturnTime = Milliseconds(200);
constexpr Duration kMaxReturnTime = Seconds(2);

/// Longest wait that is kept to, so that a mistaken value does not take a server out of use for
/// good.
constexpr Duration kMaxWait = std::chrono::hours(24);

} // namespace

bool ServerWishes::OnLeaving(std::uint64_t aServer, Time aNow) {
  return m_leaving.emplace(aServer, aNow).second;
}

void ServerWishes::OnWait(std::uint64_t aServer, Time aUntil) {
  Time& until = m_leftAloneUntil[aServer];
  until = std::max(until, aUntil);
}

Time ServerWishes::LeftAloneUntil(std::uint64_t aServer) const {
  const auto found = m_leftAloneUntil.find(aServer);
  return found == m_leftAloneUntil.end() ? Time{} : found->second;
}

void ServerWishes::Expire(Time aNow) {
  std::erase_if(m_leaving, [aNow](const std::pair<const std::uint64_t, Time>& aItem) {
    return aNow - aItem.second > kLeavingMemory;
  });
  std::erase_if(m_leftAloneUntil, [aNow](const std::pair<const std::uint64_t, Time>& aItem) {
    return aNow >= aItem.second;
  });
}

Time EndOfWait(Duration aAsked, Time aNow, Random& aRandom) {
  const Duration wait = std::min(aAsked, kMaxWait);
  const Duration spread = std::clamp(std::chrono::duration_cast<Duration>(wait * kReturnFraction),
                                     kMinReturnTime, kMaxReturnTime);
  return aNow + wait + std::chrono::duration_cast<Duration>(spread * aRandom.Uniform());
}

} // namespace fennelline

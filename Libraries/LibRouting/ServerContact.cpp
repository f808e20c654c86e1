#include "LibRouting/ServerContact.h"

#include <algorithm>
#include <cstddef>

namespace fennelline {

namespace {

constexpr std::size_t kMinFailing = 2;

/// A busy entry receives something from one of the servers within this time.
constexpr Duration kSilence = Milliseconds(250);

/// Without newer failures, nothing is known of the path. Lost paths are probed more often than
/// this.
constexpr Duration kBeliefTime = Seconds(3);

} // namespace

bool IsPathLost(const std::vector<ServerContact>& aServers, Time aNow) {
  if (aServers.empty()) {
    return false;
  }
  Time lastReached{};
  Time lastFailed{};
  for (const ServerContact& server : aServers) {
    lastReached = std::max(lastReached, server.m_reachedAt);
    lastFailed = std::max(lastFailed, server.m_failedAt);
  }
  const std::size_t failing = static_cast<std::size_t>(
    std::count_if(aServers.begin(), aServers.end(), [lastReached](const ServerContact& aServer) {
      return aServer.m_failedAt > lastReached;
    }));
  const bool isSilent = failing >= kMinFailing && aNow - lastReached >= kSilence;
  return (failing == aServers.size() || isSilent) && aNow - lastFailed <= kBeliefTime;
}

} // namespace fennelline

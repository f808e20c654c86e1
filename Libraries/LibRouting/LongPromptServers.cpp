#include "LibRouting/LongPromptServers.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <unordered_map>

namespace fennelline {

namespace {

/// Share of the servers to reserve. Measured on deployments where one prompt in a hundred takes
/// more than a second to prefill, see docs/measurements/platform.md.
constexpr double kReservedShare = 0.25;

/// With fewer servers, such as those of a canary version, none is reserved.
constexpr std::size_t kMinServers = 4;

} // namespace

std::vector<bool> ChooseLongPromptServers(std::span<const LongPromptCandidate> aServers) {
  std::vector<bool> isReserved(aServers.size(), false);
  if (aServers.size() < kMinServers) {
    return isReserved;
  }
  std::vector<std::size_t> order(aServers.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&aServers](std::size_t aOne, std::size_t aOther) {
    return aServers[aOne].m_identity < aServers[aOther].m_identity;
  });
  // Takes the first server of each data centre before the second of any.
  std::unordered_map<std::uint64_t, std::size_t> seen;
  std::vector<std::size_t> rankInZone(aServers.size());
  for (const std::size_t index : order) {
    rankInZone[index] = seen[aServers[index].m_zone]++;
  }
  std::stable_sort(order.begin(), order.end(), [&rankInZone](std::size_t aOne, std::size_t aOther) {
    return rankInZone[aOne] < rankInZone[aOther];
  });
  const std::size_t count =
    static_cast<std::size_t>(std::lround(static_cast<double>(aServers.size()) * kReservedShare));
  for (std::size_t rank = 0; rank < count; ++rank) {
    isReserved[order[rank]] = true;
  }
  return isReserved;
}

} // namespace fennelline

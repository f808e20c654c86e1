#include "LibRouting/LongPromptServers.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <unordered_map>

namespace fennelline {

namespace {

/// Part of the servers that is set apart. Measured on deployments where a prompt in a hundred
/// takes more than a second to read, see docs/measurements/platform.md.
constexpr double kShare = 0.25;

/// With fewer servers, such as those of a new version's trial, none is set apart.
constexpr std::size_t kLeastServers = 4;

} // namespace

std::vector<bool> ChooseLongPromptServers(std::span<const LongPromptCandidate> aServers) {
  std::vector<bool> isSetApart(aServers.size(), false);
  if (aServers.size() < kLeastServers) {
    return isSetApart;
  }
  std::vector<std::size_t> order(aServers.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&aServers](std::size_t aOne, std::size_t aOther) {
    return aServers[aOne].m_identity < aServers[aOther].m_identity;
  });
  // The first of each data centre come before the second of any.
  std::unordered_map<std::uint64_t, std::size_t> seen;
  std::vector<std::size_t> placeInZone(aServers.size());
  for (const std::size_t index : order) {
    placeInZone[index] = seen[aServers[index].m_zone]++;
  }
  std::stable_sort(order.begin(), order.end(),
                   [&placeInZone](std::size_t aOne, std::size_t aOther) {
                     return placeInZone[aOne] < placeInZone[aOther];
                   });
  const std::size_t count =
    static_cast<std::size_t>(std::lround(static_cast<double>(aServers.size()) * kShare));
  for (std::size_t place = 0; place < count; ++place) {
    isSetApart[order[place]] = true;
  }
  return isSetApart;
}

} // namespace fennelline

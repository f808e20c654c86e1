#include "LibRouting/PrefillLoad.h"

namespace fennelline {

namespace {

/// The last chunks of a long prompt take this much longer than the average chunk.
constexpr double kLateChunkSlowdown = 1.25;

} // namespace

bool DelaysStreamEvents(std::int64_t aTokensPerEvent, Duration aChunkTime, Duration aObjective) {
  const double pause =
    InSeconds(aChunkTime) * static_cast<double>(aTokensPerEvent) * kLateChunkSlowdown;
  return aObjective > Duration(0) && pause >= InSeconds(aObjective);
}

} // namespace fennelline

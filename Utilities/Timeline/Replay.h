#pragma once

#include "LibContract/EntrySettings.h"
#include "LibTimeline/TimelineLine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// The first step whose replayed effects differ from the recorded ones.
struct ReplayDifference {
  std::uint64_t m_number = 0;
  std::string m_event;
  std::string m_recorded;
  std::string m_replayed;
};

struct ReplayOutcome {
  std::size_t m_steps = 0;
  std::optional<ReplayDifference> m_difference;
};

/// Replays the recorded events of one process in a new reducer and compares the effects with the
/// recorded ones, up to the first difference. The lines must contain the start record of the
/// process and all steps after it.
Result<ReplayOutcome> ReplayTimeline(const std::vector<TimelineLine>& aLines,
                                     const EntrySettings& aSettings);

} // namespace fennelline

#pragma once

#include "LibTimeline/TimelineLine.h"

#include <string>
#include <vector>

namespace fennelline {

/// Puts the lines of several processes into one order, in which a process's lines keep theirs and a
/// message's sending comes before all that its receiver recorded later. Lines fetched twice are
/// kept once.
std::vector<TimelineLine> MergeTimelines(std::vector<TimelineLine> aLines);

/// What to keep. An empty member lets everything pass.
struct TimelineFilter {
  std::string m_request;
  std::string m_session;
  std::string m_version;
  /// A process by its identity, or by its name without the incarnation.
  std::string m_process;
  /// The start of a record's name.
  std::string m_name;
};

bool Passes(const TimelineFilter& aFilter, const TimelineLine& aLine);
std::vector<TimelineLine> FilterTimeline(const TimelineFilter& aFilter,
                                         std::vector<TimelineLine> aLines);

} // namespace fennelline

#pragma once

#include "LibTimeline/TimelineLine.h"

#include <string>
#include <vector>

namespace fennelline {

/// Merges the lines of several processes into one order that preserves the order within each
/// process and places the sending of a message before everything its receiver recorded afterwards.
/// Duplicate lines are removed.
std::vector<TimelineLine> MergeTimelines(std::vector<TimelineLine> aLines);

/// Criteria for the lines to keep. An empty member matches everything.
struct TimelineFilter {
  std::string m_request;
  std::string m_session;
  std::string m_version;
  /// The process identity, or the process name without the incarnation.
  std::string m_process;
  /// A prefix of the record's name.
  std::string m_name;
};

bool MatchesFilter(const TimelineFilter& aFilter, const TimelineLine& aLine);
std::vector<TimelineLine> FilterTimeline(const TimelineFilter& aFilter,
                                         std::vector<TimelineLine> aLines);

} // namespace fennelline

#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibCoordination/TimelineRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// A record with what the recorder adds to it.
struct TimelineLine {
  std::string m_process;
  /// 1, 2, 3, … within the process.
  std::uint64_t m_number = 0;
  /// The hybrid logical clock.
  std::uint64_t m_clock = 0;
  /// The process's own time.
  Time m_at;
  TimelineRecord m_record;
};

/// The name of a line that tells how many records were lost before it, in its field "records".
constexpr const char* kDroppedRecordsName = "timeline.dropped";

/// One JSON object without a line feed.
std::string WriteTimelineLine(const TimelineLine& aLine);

/// Reads one JSON object.
Result<TimelineLine> ParseTimelineLine(const std::string& aText);

/// Reads lines; empty ones are skipped. The error names the number of the line.
Result<std::vector<TimelineLine>> ParseTimelineLines(const std::string& aText);

/// The value of a record's field; empty where there is no such field.
std::string FieldOf(const TimelineRecord& aRecord, const std::string& aName);

} // namespace fennelline

#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibCoordination/TimelineRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// A record together with the metadata added by the recorder.
struct TimelineLine {
  std::string m_process;
  /// Sequence number within the process: 1, 2, 3, …
  std::uint64_t m_number = 0;
  /// The value of the hybrid logical clock.
  std::uint64_t m_clock = 0;
  /// The local time of the process.
  Time m_at;
  TimelineRecord m_record;
};

/// The name of a line whose field "records" gives the number of records lost before it.
constexpr const char* kDroppedRecordsName = "timeline.dropped";

/// Serializes a line as one JSON object without a trailing line feed.
std::string WriteTimelineLine(const TimelineLine& aLine);

/// Parses one JSON object.
Result<TimelineLine> ParseTimelineLine(const std::string& aText);

/// Parses JSON lines and skips empty ones. Errors include the line number.
Result<std::vector<TimelineLine>> ParseTimelineLines(const std::string& aText);

/// Returns the value of a record's field, or an empty string if there is no such field.
std::string FieldOf(const TimelineRecord& aRecord, const std::string& aName);

} // namespace fennelline

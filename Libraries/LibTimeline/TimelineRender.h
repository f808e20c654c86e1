#pragma once

#include "LibTimeline/TimelineLine.h"

#include <string>
#include <vector>

namespace fennelline {

/// One line of columns for each record: time, process, name, request, session, version, fields.
std::string RenderTimelineText(const std::vector<TimelineLine>& aLines);

/// The lines as JSON lines.
std::string RenderTimelineJson(const std::vector<TimelineLine>& aLines);

/// A picture: a row for each process, a mark for each record in the merged order, and a line
/// through the marks of each request.
std::string RenderTimelineSvg(const std::vector<TimelineLine>& aLines);

} // namespace fennelline

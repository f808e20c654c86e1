#pragma once

#include "LibTimeline/TimelineLine.h"

#include <string>
#include <vector>

namespace fennelline {

/// Renders one line of columns per record: time, process, name, request, session, version, fields.
std::string RenderTimelineText(const std::vector<TimelineLine>& aLines);

/// Renders JSON lines.
std::string RenderTimelineJson(const std::vector<TimelineLine>& aLines);

/// Renders an SVG diagram with a row per process, a marker per record in merged order, and a line
/// that connects the markers of each request.
std::string RenderTimelineSvg(const std::vector<TimelineLine>& aLines);

} // namespace fennelline

#include "LibTimeline/TimelineRender.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>

namespace fennelline {

namespace {

constexpr int kLeftMargin = 160;
constexpr int kTopMargin = 40;
constexpr int kRowHeight = 48;
constexpr int kColumnWidth = 18;
constexpr int kMarkerRadius = 5;

std::string TimeText(Time aTime) {
  const std::time_t seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aTime.time_since_epoch()).count();
  const std::int64_t microseconds = aTime.time_since_epoch().count() % Duration(Seconds(1)).count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  constexpr std::size_t kLength = 32;
  std::string text(kLength, '\0');
  const int length = std::snprintf(text.data(), text.size(), "%02d:%02d:%02d.%06d", parts.tm_hour,
                                   parts.tm_min, parts.tm_sec, static_cast<int>(microseconds));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::string OrDash(const std::string& aText) {
  return aText.empty() ? "-" : aText;
}

std::string FieldsText(const TimelineRecord& aRecord) {
  std::string text;
  for (const auto& [name, value] : aRecord.m_fields) {
    text += text.empty() ? "" : " ";
    text += name;
    text += "=";
    text += value;
  }
  return text;
}

std::string EscapeXml(const std::string& aText) {
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        // XML does not allow control characters.
        escaped += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
  }
  return escaped;
}

std::map<std::string, int> RowsOf(const std::vector<TimelineLine>& aLines) {
  std::map<std::string, int> rows;
  for (const TimelineLine& line : aLines) {
    rows.emplace(line.m_process, 0);
  }
  int next = 0;
  for (auto& [process, row] : rows) {
    row = next++;
  }
  return rows;
}

struct Point {
  int m_x = 0;
  int m_y = 0;
};

Point PointOf(std::size_t aColumn, int aRow) {
  return {kLeftMargin + static_cast<int>(aColumn) * kColumnWidth, kTopMargin + aRow * kRowHeight};
}

std::string DrawRow(const std::string& aProcess, int aRow, int aWidth) {
  const int y = PointOf(0, aRow).m_y;
  return "<text x=\"8\" y=\"" + std::to_string(y + kMarkerRadius) + "\">" + EscapeXml(aProcess) +
         "</text>\n<line x1=\"" + std::to_string(kLeftMargin) + "\" y1=\"" + std::to_string(y) +
         "\" x2=\"" + std::to_string(aWidth) + "\" y2=\"" + std::to_string(y) +
         "\" stroke=\"#ccc\"/>\n";
}

std::string DrawMarker(const TimelineLine& aLine, Point aPoint) {
  const std::string title = TimeText(aLine.m_at) + " " + aLine.m_record.m_name + " " +
                            aLine.m_record.m_request + " " + aLine.m_record.m_version + " " +
                            FieldsText(aLine.m_record);
  return "<circle cx=\"" + std::to_string(aPoint.m_x) + "\" cy=\"" + std::to_string(aPoint.m_y) +
         "\" r=\"" + std::to_string(kMarkerRadius) + "\"><title>" + EscapeXml(title) +
         "</title></circle>\n";
}

std::string DrawPath(const std::vector<Point>& aPoints) {
  std::string points;
  for (const Point& point : aPoints) {
    points += std::to_string(point.m_x) + "," + std::to_string(point.m_y) + " ";
  }
  return "<polyline fill=\"none\" stroke=\"#36c\" points=\"" + points + "\"/>\n";
}

} // namespace

std::string RenderTimelineText(const std::vector<TimelineLine>& aLines) {
  std::string text;
  for (const TimelineLine& line : aLines) {
    const TimelineRecord& record = line.m_record;
    text += TimeText(line.m_at) + "  " + line.m_process + "  " + record.m_name + "  " +
            OrDash(record.m_request) + "  " + OrDash(record.m_session) + "  " +
            OrDash(record.m_version) + "  " + FieldsText(record) + "\n";
  }
  return text;
}

std::string RenderTimelineJson(const std::vector<TimelineLine>& aLines) {
  std::string text;
  for (const TimelineLine& line : aLines) {
    text += WriteTimelineLine(line) + "\n";
  }
  return text;
}

std::string RenderTimelineSvg(const std::vector<TimelineLine>& aLines) {
  const std::map<std::string, int> rows = RowsOf(aLines);
  const Point end = PointOf(aLines.size() + 1, static_cast<int>(rows.size()));
  std::string body;
  for (const auto& [process, row] : rows) {
    body += DrawRow(process, row, end.m_x);
  }
  std::map<std::string, std::vector<Point>> requests;
  std::string markers;
  for (std::size_t column = 0; column < aLines.size(); ++column) {
    const TimelineLine& line = aLines[column];
    const Point point = PointOf(column, rows.at(line.m_process));
    markers += DrawMarker(line, point);
    if (!line.m_record.m_request.empty()) {
      requests[line.m_record.m_request].push_back(point);
    }
  }
  for (const auto& [request, points] : requests) {
    body += DrawPath(points);
  }
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(end.m_x) +
         "\" height=\"" + std::to_string(end.m_y) +
         "\" font-family=\"sans-serif\" font-size=\"12\">\n" + body + markers + "</svg>\n";
}

} // namespace fennelline

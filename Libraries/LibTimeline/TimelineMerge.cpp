#include "LibTimeline/TimelineMerge.h"

#include <algorithm>
#include <tuple>

namespace fennelline {

namespace {

bool IsBefore(const TimelineLine& aLeft, const TimelineLine& aRight) {
  return std::tie(aLeft.m_clock, aLeft.m_process, aLeft.m_number) <
         std::tie(aRight.m_clock, aRight.m_process, aRight.m_number);
}

bool IsDuplicate(const TimelineLine& aLeft, const TimelineLine& aRight) {
  return aLeft.m_process == aRight.m_process && aLeft.m_number == aRight.m_number &&
         aLeft.m_record.m_name == aRight.m_record.m_name;
}

bool Matches(const std::string& aWanted, const std::string& aValue) {
  return aWanted.empty() || aWanted == aValue;
}

bool IsProcess(const std::string& aWanted, const std::string& aProcess) {
  return Matches(aWanted, aProcess) || aProcess.starts_with(aWanted + "#");
}

} // namespace

std::vector<TimelineLine> MergeTimelines(std::vector<TimelineLine> aLines) {
  std::sort(aLines.begin(), aLines.end(), &IsBefore);
  const auto end = std::unique(aLines.begin(), aLines.end(), &IsDuplicate);
  aLines.erase(end, aLines.end());
  return aLines;
}

bool MatchesFilter(const TimelineFilter& aFilter, const TimelineLine& aLine) {
  const TimelineRecord& record = aLine.m_record;
  return Matches(aFilter.m_request, record.m_request) &&
         Matches(aFilter.m_session, record.m_session) &&
         Matches(aFilter.m_version, record.m_version) &&
         IsProcess(aFilter.m_process, aLine.m_process) && record.m_name.starts_with(aFilter.m_name);
}

std::vector<TimelineLine> FilterTimeline(const TimelineFilter& aFilter,
                                         std::vector<TimelineLine> aLines) {
  std::erase_if(aLines,
                [&aFilter](const TimelineLine& aLine) { return !MatchesFilter(aFilter, aLine); });
  return aLines;
}

} // namespace fennelline

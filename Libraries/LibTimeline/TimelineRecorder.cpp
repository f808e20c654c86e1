#include "LibTimeline/TimelineRecorder.h"

namespace fennelline {

namespace {

std::size_t SizeOf(const TimelineRecord& aRecord) {
  std::size_t size = sizeof(TimelineLine) + aRecord.m_name.size() + aRecord.m_request.size() +
                     aRecord.m_session.size() + aRecord.m_version.size();
  for (const auto& [name, value] : aRecord.m_fields) {
    size += 2 * sizeof(std::string) + name.size() + value.size();
  }
  return size;
}

} // namespace

TimelineRecorder::TimelineRecorder(std::string aProcess, TimelineLimits aLimits)
  : m_process(std::move(aProcess))
  , m_limits(aLimits) {}

void TimelineRecorder::Record(TimelineRecord aRecord, Time aNow) {
  const std::size_t size = SizeOf(aRecord);
  const std::lock_guard<std::mutex> lock(m_mutex);
  const std::uint64_t number = ++m_lastNumber;
  const std::uint64_t clock = m_clock.Now(aNow);
  m_bytes += size;
  m_lines.push_back({m_process, number, clock, aNow, std::move(aRecord)});
  while (m_lines.size() > m_limits.m_maxRecords ||
         (m_bytes > m_limits.m_maxBytes && !m_lines.empty())) {
    m_bytes -= SizeOf(m_lines.front().m_record);
    m_lines.pop_front();
    ++m_dropped;
  }
}

std::uint64_t TimelineRecorder::ReadClock(Time aNow) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_clock.Now(aNow);
}

void TimelineRecorder::Observe(std::uint64_t aRemote, Time aNow) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_clock.Observe(aRemote, aNow);
}

std::string TimelineRecorder::Since(std::uint64_t aNumber) const {
  std::vector<TimelineLine> lines;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_lines.empty()) {
      return {};
    }
    const std::uint64_t oldest = m_lines.front().m_number;
    if (oldest > aNumber + 1) {
      lines.push_back(MakeDroppedLine(aNumber, m_lines.front()));
    }
    const std::uint64_t skipped = aNumber < oldest ? 0 : aNumber - oldest + 1;
    for (std::uint64_t index = skipped; index < m_lines.size(); ++index) {
      if (lines.size() >= m_limits.m_maxLinesPerReply) {
        break;
      }
      lines.push_back(m_lines[index]);
    }
  }
  std::string text;
  for (const TimelineLine& line : lines) {
    text += WriteTimelineLine(line) + "\n";
  }
  return text;
}

TimelineLine TimelineRecorder::MakeDroppedLine(std::uint64_t aAfter,
                                               const TimelineLine& aOldest) const {
  const std::uint64_t lost = aOldest.m_number - aAfter - 1;
  TimelineLine line{.m_process = m_process,
                    .m_number = aOldest.m_number - 1,
                    .m_clock = aOldest.m_clock - 1,
                    .m_at = aOldest.m_at,
                    .m_record = {}};
  line.m_record.m_name = kDroppedRecordsName;
  line.m_record.m_fields = {{"records", std::to_string(lost)}};
  return line;
}

std::uint64_t TimelineRecorder::CountDropped() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_dropped;
}

} // namespace fennelline

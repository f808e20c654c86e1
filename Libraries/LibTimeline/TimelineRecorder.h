#pragma once

#include "LibTimeline/HybridClock.h"
#include "LibTimeline/TimelineLine.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace fennelline {

struct TimelineLimits {
  std::size_t m_maxRecords = 65'536;
  /// Limit for the approximate memory of the stored records.
  std::size_t m_maxBytes = 32UL * 1'024 * 1'024;
  /// Limit for the number of lines returned by one call of Since().
  std::size_t m_maxLinesPerReply = 10'000;
};

/// Stores the most recent records of a process and its hybrid logical clock. Thread-safe.
class TimelineRecorder {
public:
  explicit TimelineRecorder(std::string aProcess, TimelineLimits aLimits = {});

  /// Adds a record and drops the oldest ones where a limit is exceeded.
  void Record(TimelineRecord aRecord, Time aNow);

  /// Returns the clock value to attach to an outgoing message.
  std::uint64_t ReadClock(Time aNow);
  /// Advances the clock to the value of a received message.
  void Observe(std::uint64_t aRemote, Time aNow);

  /// Returns the records after a sequence number as JSON lines, in order and up to
  /// m_maxLinesPerReply. If records after that number have been dropped, the first line gives their
  /// count.
  std::string Since(std::uint64_t aNumber) const;

  /// Returns the number of records dropped so far.
  std::uint64_t CountDropped() const;

private:
  TimelineLine MakeDroppedLine(std::uint64_t aAfter, const TimelineLine& aOldest) const;

  std::string m_process;
  TimelineLimits m_limits;
  mutable std::mutex m_mutex;
  HybridClock m_clock;
  std::deque<TimelineLine> m_lines;
  std::size_t m_bytes = 0;
  std::uint64_t m_lastNumber = 0;
  std::uint64_t m_dropped = 0;
};

} // namespace fennelline

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
  std::size_t m_mostRecords = 65'536;
  /// Bound on the bytes of names, values and fields kept.
  std::size_t m_mostBytes = 32UL * 1'024 * 1'024;
  /// Bound on the lines of one reply of Since().
  std::size_t m_mostLinesAtOnce = 10'000;
};

/// Keeps a process's latest records and its hybrid logical clock. Every function may be called from
/// any thread.
class TimelineRecorder {
public:
  explicit TimelineRecorder(std::string aProcess, TimelineLimits aLimits = {});

  /// Adds a record. The oldest ones make room for it.
  void Record(TimelineRecord aRecord, Time aNow);

  /// The clock's value for a message that leaves now.
  std::uint64_t ReadClock(Time aNow);
  /// Takes note of the clock's value of a message that came.
  void Observe(std::uint64_t aRemote, Time aNow);

  /// JSON lines of the records after a number, in their order, as many as fit in one reply. Where
  /// records after that number are gone, the first line tells how many.
  std::string Since(std::uint64_t aNumber) const;

  /// The records that made room for others.
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

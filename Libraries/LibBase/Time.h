#pragma once

#include <chrono>
#include <cstdint>

namespace fennelline {

/// A duration with microsecond resolution.
using Duration = std::chrono::microseconds;

/// A point in time with microsecond resolution: the wall-clock time at process start plus the
/// monotonic time elapsed since, so it never goes backwards within a process. Decision logic takes
/// the time as an argument instead of reading a clock.
using Time = std::chrono::sys_time<Duration>;

constexpr Time kNever = Time::max();

constexpr Duration Milliseconds(std::int64_t aCount) {
  return std::chrono::milliseconds(aCount);
}

constexpr Duration Seconds(std::int64_t aCount) {
  return std::chrono::seconds(aCount);
}

constexpr double InSeconds(Duration aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

constexpr std::int64_t InMilliseconds(Duration aDuration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

/// Includes the fractional milliseconds that InMilliseconds() truncates.
constexpr double InFractionalMilliseconds(Duration aDuration) {
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// Reads the system clock. Only I/O code and programs use it; decision logic is passed the time.
class SystemClock {
public:
  Time Now() const {
    const std::chrono::steady_clock::duration elapsed =
      std::chrono::steady_clock::now() - m_steadyStart;
    return m_wallStart + std::chrono::duration_cast<Duration>(elapsed);
  }

private:
  Time m_wallStart = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  std::chrono::steady_clock::time_point m_steadyStart = std::chrono::steady_clock::now();
};

} // namespace fennelline

#pragma once

#include <chrono>
#include <cstdint>

namespace fennelline {

/// Durations and instants have a resolution of one microsecond.
using Duration = std::chrono::microseconds;

/// An instant: the wall time at the start of the process plus the monotonic time since.
/// It never runs backwards within a process. Deciding functions take it as an argument.
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

/// With the part of a millisecond that InMilliseconds() cuts off.
constexpr double InFractionalMilliseconds(Duration aDuration) {
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// Reads the clock. Only shells and programs call this.
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

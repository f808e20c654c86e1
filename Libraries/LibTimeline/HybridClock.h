#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace fennelline {

/// A hybrid logical clock. Its values follow the wall-clock time and increase with every reading. A
/// process that observes the value attached to a message reads greater values from then on, so a
/// cause has a smaller value than its effects across all processes.
class HybridClock {
public:
  /// Low bits that distinguish readings within the same microsecond.
  static constexpr unsigned kCounterBits = 12;
  /// Values further ahead than this are rejected, so that one process with a wrong wall clock does
  /// not advance the clocks of all others.
  static constexpr Duration kMaxAhead = Seconds(3'600);

  /// Returns the next value.
  std::uint64_t Now(Time aNow);
  /// Advances the clock to a value received with a message. Returns false if it is too far ahead.
  bool Observe(std::uint64_t aRemote, Time aNow);

  /// Returns the wall-clock time contained in a value.
  static Time TimeOf(std::uint64_t aValue);
  /// Returns the smallest value for a point in time.
  static std::uint64_t ValueOf(Time aTime);

private:
  std::uint64_t m_last = 0;
};

} // namespace fennelline

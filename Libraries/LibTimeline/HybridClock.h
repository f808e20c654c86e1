#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace fennelline {

/// A hybrid logical clock. Its values follow the wall time and grow with every reading; a process
/// that observes the value sent along with a message reads greater values from then on. So a cause
/// has a smaller value than its effects, over all processes.
class HybridClock {
public:
  /// Low bits that tell apart readings within the same microsecond.
  static constexpr unsigned kCounterBits = 12;
  /// A value further ahead than this is not observed: one process with a wrong wall clock must not
  /// take all others with it.
  static constexpr Duration kMostAhead = Seconds(3'600);

  /// The next value.
  std::uint64_t Now(Time aNow);
  /// Takes note of a value that came with a message. False when it is too far ahead.
  bool Observe(std::uint64_t aRemote, Time aNow);

  /// The wall time that a value carries.
  static Time TimeOf(std::uint64_t aValue);
  /// The least value of an instant.
  static std::uint64_t ValueOf(Time aTime);

private:
  std::uint64_t m_last = 0;
};

} // namespace fennelline

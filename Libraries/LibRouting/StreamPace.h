#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstddef>

namespace fennelline {

/// The time between events of one stream while nothing delays it: a low quantile over the first
/// events. A long prompt that the server processes meanwhile delays some of them, but a slow
/// version delays all.
class StreamPace {
public:
  void OnEvent(Time aNow);
  /// Zero until there are enough events to tell.
  Duration Value() const;
  /// The least that the median of the first gaps can be, given those seen so far. Unlike Value(),
  /// it includes what delays the events.
  Duration LeastMedian() const;
  /// Whether LeastMedian() is the median.
  bool HasMedian() const { return m_count >= kMedianGaps; }

private:
  static constexpr std::size_t kMinGaps = 3;
  static constexpr std::size_t kMedianGaps = 8;
  static constexpr std::size_t kMaxGaps = 16;
  /// One gap in so many may be shorter than the quantile.
  static constexpr std::size_t kQuantileDivisor = 4;

  /// Of the first aCount gaps, one that aIndex others do not exceed.
  Duration Ranked(std::size_t aCount, std::size_t aIndex) const;

  std::array<Duration, kMaxGaps> m_gaps{};
  std::size_t m_count = 0;
  Time m_lastEvent{};
};

} // namespace fennelline

#pragma once

#include "LibBase/Time.h"

#include <algorithm>

namespace fennelline {

/// Delay after a failure: aFirst, doubled for each earlier failure in a row, capped at aLongest.
constexpr Duration ExponentialBackoff(Duration aFirst, Duration aLongest, int aEarlierFailures) {
  // The cap is reached well before this many doublings; more would overflow the integer.
  constexpr int kMaxDoublings = 16;
  return std::min(aFirst * (1 << std::min(aEarlierFailures, kMaxDoublings)), aLongest);
}

} // namespace fennelline

#pragma once

#include "LibBase/Time.h"

#include <algorithm>

namespace fennelline {

/// The wait after a failure: the first, doubled for each earlier one in a row, up to the longest.
constexpr Duration ExponentialBackoff(Duration aFirst, Duration aLongest, int aEarlierFailures) {
  // Beyond so many, the longest is long reached, and the number would overflow.
  constexpr int kMostDoublings = 16;
  return std::min(aFirst * (1 << std::min(aEarlierFailures, kMostDoublings)), aLongest);
}

} // namespace fennelline

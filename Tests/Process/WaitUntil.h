#pragma once

#include "LibBase/Time.h"

#include <chrono>
#include <thread>

namespace fennelline {

/// Polls a condition until it holds. Returns false when it does not within the bound.
template<typename Condition>
bool WaitUntil(Duration aBound, const Condition& aCondition) {
  constexpr std::chrono::milliseconds kPollInterval{5};
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + aBound;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

} // namespace fennelline

#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace fennelline {

struct RetryWindowPlan {
  /// Repeats for each request in a window, from the settings.
  double m_ratio = 0.9;
  /// Repeats beyond that, over all entries.
  double m_slack = 50.0;
  Duration m_window = Seconds(10);
  /// Entries that share the slack.
  std::size_t m_entries = 1;
};

/// Bounds the repeats that this entry sends to one service, so that all entries together stay
/// within the fleet's bound whoever of them is alive: each has its own requests' share, and its
/// part of the slack.
class RetryWindow {
public:
  void OnRequest(Time aNow);
  /// Counts a repeat and returns true if the plan allows it now.
  bool TrySpend(const RetryWindowPlan& aPlan, Time aNow);

private:
  static constexpr std::size_t kCells = 20;
  struct Cell {
    std::int64_t m_number = -1;
    std::int64_t m_requests = 0;
    std::int64_t m_repeats = 0;
  };

  static std::int64_t NumberAt(Duration aWindow, Time aNow);
  Cell& CellAt(std::int64_t aNumber);

  Duration m_window = Seconds(10);
  std::array<Cell, kCells + 1> m_cells;
};

} // namespace fennelline

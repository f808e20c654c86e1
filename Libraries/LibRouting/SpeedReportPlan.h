#pragma once

#include "LibRouting/ServerSpeed.h"

#include <algorithm>
#include <cstddef>

namespace fennelline {

/// How many speed reports an entry sends once a second, and to how many of the others, so that it
/// sends at most kMaxBytes in a fleet of any size.
struct SpeedReportPlan {
  /// A small part of the 11 KB/s that control may use on each node.
  static constexpr std::size_t kMaxBytes = 200;
  /// Type of the message and tag of the datagram.
  static constexpr std::size_t kHeaderBytes = 2;
  /// Entries that are told of each sample at least, if there are so many. With 59 entries and 8
  /// samples a second at each, an entry hears of 24 a second in addition to its own.
  static constexpr std::size_t kMinReceivers = 3;

  std::size_t m_others = 0;

  std::size_t MaxReports() const {
    const std::size_t receivers = std::clamp<std::size_t>(m_others, 1, kMinReceivers);
    return (kMaxBytes / receivers - kHeaderBytes) / kSpeedReportBytes;
  }
  /// The fewer reports there are, the more entries are told.
  std::size_t Receivers(std::size_t aReports) const {
    return std::min(m_others, kMaxBytes / (kHeaderBytes + aReports * kSpeedReportBytes));
  }
};

} // namespace fennelline

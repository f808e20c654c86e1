#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <optional>

namespace fennelline {

/// Decides how many other entries are told of each announcement, so that an entry receives at most
/// about kReceivedPerSecond of them in a fleet of any size and under any load, if all entries
/// announce at about the same rate: an entry then sends as many datagrams as it receives.
class AnnouncementBudget {
public:
  /// This entry makes an announcement now. Returns how many of the other entries to tell.
  std::size_t OnAnnouncement(std::size_t aOthers, Time aNow);

private:
  /// Datagrams that may be sent.
  double m_credit = 0.0;
  std::optional<Time> m_lastAt;
};

} // namespace fennelline

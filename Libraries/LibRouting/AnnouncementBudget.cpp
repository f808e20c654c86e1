#include "LibRouting/AnnouncementBudget.h"

#include <algorithm>

namespace fennelline {

namespace {

/// An announcement is a datagram of some 50 bytes, so this is 9 of the 11 KB/s that control may use
/// on each node.
constexpr double kReceivedPerSecond = 180.0;

/// The credit that is saved up is enough to tell all entries of this many announcements, but at
/// least for this time.
constexpr double kSavedAnnouncements = 3.0;
constexpr double kMinSavedSeconds = 1.0;

/// Part of the credit that one announcement may use, so that the ones that follow it at once are
/// not told to nobody.
constexpr double kUsedPart = 0.5;

} // namespace

std::size_t AnnouncementBudget::OnAnnouncement(std::size_t aOthers, Time aNow) {
  const double others = static_cast<double>(aOthers);
  const double most = std::max(kSavedAnnouncements * others, kMinSavedSeconds * kReceivedPerSecond);
  const double earned = m_lastAt ? kReceivedPerSecond * InSeconds(aNow - *m_lastAt) : most;
  m_lastAt = aNow;
  m_credit = std::min(most, m_credit + earned);
  const std::size_t told = static_cast<std::size_t>(std::min(others, m_credit * kUsedPart));
  m_credit -= static_cast<double>(told);
  return told;
}

} // namespace fennelline

#include "LibBase/Random.h"
#include "LibRouting/AnnouncementBudget.h"

#include <doctest/doctest.h>
#include <vector>

using namespace fennelline;

namespace {

/// Announcements that each entry receives a second, if all entries together make aPerSecond.
double ReceivedPerSecond(std::size_t aEntries, double aPerSecond) {
  constexpr int kSeconds = 60;
  Random random(aEntries);
  std::vector<AnnouncementBudget> entries(aEntries);
  double sent = 0.0;
  for (double at = 0.0; at < kSeconds; at += random.Exponential(1.0 / aPerSecond)) {
    const Time now =
      Time{} + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
    sent += static_cast<double>(entries[random.Below(aEntries)].OnAnnouncement(aEntries - 1, now));
  }
  return sent / static_cast<double>(aEntries) / kSeconds;
}

} // namespace

TEST_CASE("all entries are told where few announcements are made") {
  for (const std::size_t entries : {2U, 9U, 66U, 295U}) {
    const double perSecond = 40.0;
    const double others = static_cast<double>(entries - 1) / static_cast<double>(entries);
    CHECK(ReceivedPerSecond(entries, perSecond) > 0.9 * perSecond * others);
  }
}

TEST_CASE("what an entry receives does not grow with the load nor with the fleet") {
  // Control may use 11 KB a second on each node, and an announcement is a datagram of 50 bytes.
  constexpr double kBound = 11'000.0 / 50.0;
  for (const std::size_t entries : {66U, 295U, 460U}) {
    for (const double perSecond : {200.0, 1'500.0, 10'000.0}) {
      CAPTURE(entries);
      CAPTURE(perSecond);
      const double received = ReceivedPerSecond(entries, perSecond);
      CHECK(received < kBound);
      CHECK(received > 50.0);
    }
  }
}

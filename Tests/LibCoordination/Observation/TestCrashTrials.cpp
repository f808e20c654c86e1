// Trials of refused causes in fleets in which messages take their time.

#include "Tests/LibCoordination/Observation/SlowFleet.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

/// A part has crashed servers under two contents of one account, and is refused.
void RefusePart(SlowFleet& aFleet, const std::string& aPart) {
  aFleet.Crash(aFleet.AnyEntry(), Prompt("first", aPart), "s1");
  aFleet.Run(Milliseconds(700));
  aFleet.Crash(aFleet.AnyEntry(), Prompt("second", aPart), "s2");
}

} // namespace

TEST_CASE("when a refusal ends, a large fleet that gets many such requests sends few as trials") {
  // The platform allows three late requests in all, and one may have been on its way.
  constexpr std::size_t kAllowed = 3;
  constexpr double kRequestsPerTick = 0.6;
  for (const std::size_t entries : {66U, 460U}) {
    std::size_t sum = 0;
    constexpr std::size_t kSeeds = 6;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      SlowFleet fleet(entries, seed);
      RefusePart(fleet, "bad");
      fleet.Run(Seconds(1));
      CHECK(fleet.CountRefusing(Prompt("r", "bad")) == entries);
      std::size_t sent = 0;
      const Time end = fleet.Now() + Seconds(12);
      for (int number = 0; fleet.Now() < end; ++number) {
        fleet.Run(kTick);
        if (fleet.Chance(kRequestsPerTick)) {
          const CrashCauses causes = Prompt("r" + std::to_string(number), "bad");
          sent += fleet.Send(fleet.AnyEntry(), causes) ? 1 : 0;
        }
      }
      CHECK(sent >= 1);
      CHECK(sent <= kAllowed);
      sum += sent;
    }
    MESSAGE(entries << " entries: " << sum << " trials in " << kSeeds << " runs");
  }
}

TEST_CASE("a sound part that was refused is soon served again, also if few requests have it") {
  constexpr double kRequestsPerTick = 0.02;
  for (const std::size_t entries : {66U, 460U}) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      SlowFleet fleet(entries, seed);
      RefusePart(fleet, "sound");
      fleet.Run(kFirstRefusal);
      const Time ended = fleet.Now();
      bool isServed = false;
      for (int number = 0; !isServed && fleet.Now() < ended + Seconds(20); ++number) {
        fleet.Run(kTick);
        const CrashCauses causes = Prompt("r" + std::to_string(number), "sound");
        const std::size_t entry = fleet.AnyEntry();
        isServed = fleet.Chance(kRequestsPerTick) && fleet.Send(entry, causes);
        if (isServed) {
          fleet.Run(Seconds(1));
          fleet.Finish(entry, causes);
        }
      }
      CHECK(isServed);
      CHECK(fleet.Now() - ended < Seconds(8));
      fleet.Run(Seconds(2));
      CHECK(fleet.CountRefusing(Prompt("r", "sound")) == 0);
    }
  }
}

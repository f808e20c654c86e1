// What entries tell each other of crashes with many sound runs beside them.

#include "Tests/LibCoordination/Observation/SlowFleet.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("many servers that crash at once do not fill the entries' links with reports") {
  // Control may use 11 KB a second on each node; the crashes of ten seconds count together.
  constexpr double kAllowedBytes = 11'000.0 * 10.0;
  constexpr std::size_t kServers = 64;
  constexpr std::size_t kRunsOnEach = 8;
  constexpr std::uint64_t kPopularParts = 32;
  constexpr std::uint64_t kOwnParts = 1000;
  for (const std::size_t entries : {66U, 295U}) {
    CAPTURE(entries);
    SlowFleet fleet(entries, entries);
    int number = 0;
    const auto prompt = [&] {
      CrashCauses causes{.m_content = "content-" + std::to_string(number++), .m_parts = {}};
      const std::string parts[] = {"popular" + std::to_string(fleet.Below(kPopularParts)),
                                   "own" + std::to_string(fleet.Below(kOwnParts))};
      for (const std::string& part : parts) {
        causes.m_parts.push_back({.m_inAccount = part + kAccountMark + "a", .m_anywhere = part});
      }
      return causes;
    };
    for (int request = 0; request < 2000; ++request) {
      fleet.Begin(fleet.AnyEntry(), prompt());
    }
    fleet.Run(Seconds(1));
    const double before = fleet.MeanBytesSent();
    for (std::size_t server = 0; server < kServers; ++server) {
      for (std::size_t run = 0; run < kRunsOnEach; ++run) {
        fleet.Crash(fleet.AnyEntry(), prompt(), "s" + std::to_string(server));
      }
    }
    const Time end = fleet.Now() + Seconds(10);
    while (fleet.Now() < end) {
      fleet.Run(kTick);
      fleet.Finish(fleet.AnyEntry(), prompt());
    }
    const double bytes = fleet.MeanBytesSent() - before;
    MESSAGE(entries << " entries: " << bytes << " bytes from each in 10 s");
    CHECK(bytes < kAllowedBytes);
  }
}

TEST_CASE("a crashing part is refused in time although many sound runs are beside each crash") {
  // As on the users' days: of 240 requests a second one in twenty has the part, in two accounts.
  constexpr double kRequestsPerTick = 0.12;
  constexpr std::size_t kBesideEachCrash = 14;
  constexpr Duration kContactTime = Seconds(5);
  constexpr std::size_t kCrashesBefore = 5;
  constexpr std::size_t kAllowedLate = 3;
  for (const std::size_t entries : {66U, 295U, 460U}) {
    std::size_t all = 0;
    constexpr std::size_t kSeeds = 5;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      SlowFleet fleet(entries, seed);
      int number = 0;
      const auto prompt = [&](const std::string& aPart, const std::string& aAccount) {
        return CrashCauses{
          .m_content = "content-" + std::to_string(number++),
          .m_parts = {{.m_inAccount = aPart + kAccountMark + aAccount, .m_anywhere = aPart}}};
      };
      std::multimap<Time, std::pair<std::size_t, CrashCauses>> running;
      std::vector<Time> crashes;
      std::size_t late = 0;
      const Time end = fleet.Now() + Seconds(20);
      while (fleet.Now() < end) {
        fleet.Run(kTick);
        fleet.Finish(fleet.AnyEntry(), prompt("sound" + std::to_string(fleet.Below(1000)), "a0"));
        while (!running.empty() && running.begin()->first <= fleet.Now()) {
          const auto [entry, causes] = running.begin()->second;
          running.erase(running.begin());
          crashes.push_back(fleet.Now());
          const std::string server = "s" + std::to_string(crashes.size());
          fleet.Crash(entry, causes, server);
          for (std::size_t beside = 0; beside < kBesideEachCrash; ++beside) {
            const std::string part = "sound" + std::to_string(fleet.Below(1000));
            fleet.Crash(fleet.AnyEntry(), prompt(part, "a0"), server);
          }
        }
        if (fleet.Chance(kRequestsPerTick)) {
          const std::size_t entry = fleet.AnyEntry();
          const CrashCauses causes = prompt("bad", "a" + std::to_string(fleet.Below(2)));
          if (fleet.Send(entry, causes)) {
            const bool isLate = crashes.size() >= kCrashesBefore &&
                                fleet.Now() > crashes[kCrashesBefore - 1] + kContactTime;
            late += isLate ? 1 : 0;
            running.emplace(fleet.Now() + Milliseconds(300), std::pair(entry, causes));
          }
        }
      }
      CHECK(late <= kAllowedLate);
      all += crashes.size();
    }
    MESSAGE(entries << " entries: " << all << " crashes in " << kSeeds << " runs");
  }
}

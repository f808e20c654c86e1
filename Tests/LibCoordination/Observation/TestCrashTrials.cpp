// Trials of refused causes in fleets in which messages take their time.

#include "LibCoordination/Observation/CrashHistory.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace fennelline;

namespace {

constexpr Duration kTick = Milliseconds(10);
constexpr Duration kHistoryTick = Milliseconds(100);
constexpr Duration kFirstRefusal = Seconds(5);

/// As on the users' platform.
CrashHistorySettings PlatformSettings(const EntryId& aSelf) {
  CrashHistorySettings settings;
  settings.m_self = aSelf;
  settings.m_trialStep = Milliseconds(500);
  settings.m_overlapRefusalTime = Duration(0);
  settings.m_refusalTimes = {kFirstRefusal, Seconds(60), std::chrono::hours(24)};
  settings.m_antiEntropyInterval = Milliseconds(500);
  settings.m_maxRequestsPerMessage = 8;
  settings.m_completionMemory = Seconds(30);
  return settings;
}

CrashCauses Prompt(const std::string& aContent, const std::string& aPart) {
  return {.m_content = aContent,
          .m_parts = {{.m_inAccount = aPart + kAccountMark + "a", .m_anywhere = aPart}}};
}

/// Entries whose messages take 1 to 60 ms and are sometimes lost.
class SlowFleet {
public:
  SlowFleet(std::size_t aCount, std::uint64_t aSeed)
    : m_random(aSeed) {
    std::vector<EntryId> names;
    for (std::size_t index = 0; index < aCount; ++index) {
      names.push_back("e" + std::to_string(index) + "#1");
      m_entries.emplace_back(PlatformSettings(names.back()), aSeed + index);
      m_positions[names.back()] = index;
    }
    for (std::size_t index = 0; index < aCount; ++index) {
      std::vector<EntryId> others = names;
      std::erase(others, names[index]);
      m_entries[index].OnMembers(others, m_now);
    }
  }

  Time Now() const { return m_now; }
  std::size_t AnyEntry() { return m_random.Below(m_entries.size()); }
  std::uint64_t Below(std::uint64_t aBound) { return m_random.Below(aBound); }
  bool Chance(double aProbability) { return m_random.Chance(aProbability); }

  void Crash(std::size_t aEntry, const CrashCauses& aCauses, const BackendServerId& aServer) {
    Post(m_entries[aEntry].OnCrashes({{.m_causes = aCauses, .m_sentAt = m_now}}, aServer, m_now));
  }
  /// Sends the request if it may run.
  bool Send(std::size_t aEntry, const CrashCauses& aCauses) {
    CrashTrial trial;
    Step<VerdictChanged> step;
    const bool mayRun = m_entries[aEntry].MayRun(aCauses, trial, m_now, step);
    Post(step);
    if (mayRun) {
      Post(m_entries[aEntry].OnTrialSent(trial, m_now));
    }
    return mayRun;
  }
  void Finish(std::size_t aEntry, const CrashCauses& aCauses) {
    Post(m_entries[aEntry].OnFinished(aCauses, m_now));
  }
  void Begin(std::size_t aEntry, const CrashCauses& aCauses) {
    Post(m_entries[aEntry].OnBegun(aCauses, m_now));
  }
  std::size_t CountEntries() const { return m_entries.size(); }
  /// Bytes that an entry has sent, on average.
  double MeanBytesSent() const {
    return static_cast<double>(m_bytesSent) / static_cast<double>(m_entries.size());
  }
  std::size_t CountRefusing(const CrashCauses& aCauses) const {
    return static_cast<std::size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [&](const CrashHistory& aHistory) {
        return !aHistory.RefusedCause(aCauses, m_now).empty();
      }));
  }
  void Run(Duration aTime) {
    const Time end = m_now + aTime;
    while (m_now < end) {
      m_now += kTick;
      while (!m_inTransit.empty() && m_inTransit.begin()->first <= m_now) {
        const SendMessage message = std::move(m_inTransit.begin()->second);
        m_inTransit.erase(m_inTransit.begin());
        Post(m_entries[m_positions.at(message.m_to)].OnMessage("", message.m_message, m_now));
      }
      if (m_now.time_since_epoch() % kHistoryTick == Duration(0)) {
        for (CrashHistory& history : m_entries) {
          Post(history.Tick(m_now));
        }
      }
    }
  }

private:
  static std::size_t SizeOf(const Message& aMessage) {
    constexpr std::size_t kHeaderBytes = 80;
    constexpr std::size_t kBytesPerItem = 100;
    std::size_t items = 0;
    if (const CrashReports* reports = std::get_if<CrashReports>(&aMessage)) {
      items = reports->m_reports.size();
    } else if (const CrashVerdicts* verdicts = std::get_if<CrashVerdicts>(&aMessage)) {
      items = verdicts->m_verdicts.size();
    }
    return kHeaderBytes + items * kBytesPerItem;
  }

  void Post(const Step<VerdictChanged>& aStep) {
    constexpr double kLoss = 0.025;
    constexpr std::uint64_t kMaxDelayMs = 60;
    for (const Effect& effect : aStep.m_effects) {
      m_bytesSent += SizeOf(std::get<SendMessage>(effect).m_message);
      if (!m_random.Chance(kLoss)) {
        const Time arrival =
          m_now + Milliseconds(1 + static_cast<std::int64_t>(m_random.Below(kMaxDelayMs)));
        m_inTransit.emplace(arrival, std::get<SendMessage>(effect));
      }
    }
  }

  Random m_random;
  Time m_now{};
  std::vector<CrashHistory> m_entries;
  std::map<EntryId, std::size_t> m_positions;
  std::multimap<Time, SendMessage> m_inTransit;
  std::size_t m_bytesSent = 0;
};

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

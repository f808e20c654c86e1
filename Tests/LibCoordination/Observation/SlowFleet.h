#pragma once

#include "LibCoordination/Observation/CrashHistory.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fennelline {

constexpr Duration kTick = Milliseconds(10);
constexpr Duration kHistoryTick = Milliseconds(100);
constexpr Duration kFirstRefusal = Seconds(5);

/// As on the users' platform.
inline CrashHistorySettings PlatformSettings(const EntryId& aSelf) {
  CrashHistorySettings settings;
  settings.m_self = aSelf;
  settings.m_trialStep = Milliseconds(500);
  settings.m_overlapRefusalTime = Duration(0);
  settings.m_refusalTimes = {kFirstRefusal, Seconds(60), std::chrono::hours(24)};
  settings.m_antiEntropyInterval = Milliseconds(500);
  settings.m_maxRequestsPerMessage = 8;
  settings.m_maxRelayedAtOnce = 160.0;
  settings.m_maxRelayedPerSecond = 60.0;
  settings.m_reportLifetime = Seconds(1);
  settings.m_completionMemory = Seconds(30);
  return settings;
}

inline CrashCauses Prompt(const std::string& aContent, const std::string& aPart) {
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

} // namespace fennelline

#include "LibCoordination/Observation/CrashHistory.h"

#include <doctest/doctest.h>
#include <map>

using namespace fennelline;

namespace {

/// Entries that pass on each other's messages, some of which are lost.
class Fleet {
public:
  Fleet(std::size_t aCount, double aLoss)
    : m_loss(aLoss)
    , m_random(aCount) {
    std::vector<EntryId> names;
    for (std::size_t index = 0; index < aCount; ++index) {
      names.push_back("e" + std::to_string(index) + "#1");
      m_entries.emplace(names.back(), CrashHistory(CrashHistorySettings{}, index + 1));
    }
    for (auto& [name, memory] : m_entries) {
      std::vector<EntryId> others = names;
      std::erase(others, name);
      Deliver(name, memory.OnMembers(others, m_now));
    }
  }

  void Crash(const EntryId& aEntry, const std::string& aRequest, const BackendServerId& aServer) {
    Deliver(aEntry, m_entries.at(aEntry).OnCrash(aRequest, aServer, m_now));
  }
  void Run(Duration aTime) {
    const Time end = m_now + aTime;
    while (m_now < end) {
      m_now += Milliseconds(100);
      for (auto& [name, memory] : m_entries) {
        Deliver(name, memory.Tick(m_now));
      }
    }
  }
  std::size_t CountPoison(const std::string& aRequest) const {
    std::size_t count = 0;
    for (const auto& [name, memory] : m_entries) {
      count += memory.IsPoison(aRequest, m_now) ? 1 : 0;
    }
    return count;
  }

private:
  void Deliver(const EntryId& aFrom, const Step<PoisonFound>& aStep) {
    for (const Effect& effect : aStep.m_effects) {
      const SendMessage& sent = std::get<SendMessage>(effect);
      if (!m_random.Chance(m_loss)) {
        Deliver(sent.m_to, m_entries.at(sent.m_to).OnMessage(aFrom, sent.m_message, m_now));
      }
    }
  }

  double m_loss;
  Random m_random;
  Time m_now{};
  std::map<EntryId, CrashHistory> m_entries;
};

} // namespace

TEST_CASE("a request that crashed two servers is refused, not one that crashed one twice") {
  CrashHistory memory(CrashHistorySettings{}, 1);
  memory.OnCrash("r", "s1", Time{});
  CHECK(memory.OnCrash("r", "s1", Time{}).m_outcomes.empty());
  CHECK(!memory.IsPoison("r", Time{}));
  CHECK(memory.IsSuspect("r", Time{}));
  CHECK(memory.HasCrashed("r", "s1", Time{}));
  const Step<PoisonFound> step = memory.OnCrash("r", "s2", Time{});
  REQUIRE(step.m_outcomes.size() == 1);
  CHECK(step.m_outcomes[0].m_fingerprint == "r");
  CHECK(memory.IsPoison("r", Time{}));
  CHECK(!memory.IsPoison("other", Time{}));
  CHECK(!memory.IsPoison("r", Time{} + Seconds(601)));
}

TEST_CASE("two crashes seen at two entries are known everywhere, with lost messages") {
  for (const std::size_t count : {9U, 200U}) {
    Fleet fleet(count, 0.3);
    fleet.Crash("e0#1", "r", "s1");
    fleet.Crash("e5#1", "r", "s2");
    fleet.Run(Seconds(2));
    CHECK(fleet.CountPoison("r") >= count * 95 / 100);
    fleet.Run(Seconds(60));
    CHECK(fleet.CountPoison("r") == count);
  }
}

TEST_CASE("a request that runs to its end is cleared, and old news does not bring it back") {
  CrashHistory memory(CrashHistorySettings{}, 1);
  memory.OnCrash("r", "s1", Time{} + Seconds(1));
  memory.OnFinished("r", Time{} + Seconds(2));
  const CrashReports old{.m_reports = {{"r", "s1", 3000}, {"r", "s2", 3000}}};
  memory.OnMessage("e2#1", Message(old), Time{} + Seconds(4));
  CHECK(!memory.IsPoison("r", Time{} + Seconds(4)));
  const CrashReports fresh{.m_reports = {{"r", "s3", 0}, {"r", "s4", 0}}};
  memory.OnMessage("e2#1", Message(fresh), Time{} + Seconds(5));
  CHECK(memory.IsPoison("r", Time{} + Seconds(5)));
}

TEST_CASE("memory is bounded, and what is forgotten is the oldest") {
  CrashHistorySettings settings;
  settings.m_mostRequests = 100;
  CrashHistory memory(settings, 1);
  for (int request = 0; request < 1000; ++request) {
    memory.OnCrash("r" + std::to_string(request), "s1", Time{});
  }
  CHECK(memory.RequestCount() == 100);
  CHECK(memory.IsSuspect("r999", Time{}));
  CHECK(!memory.IsSuspect("r0", Time{}));
  memory.Tick(Time{} + Seconds(2000));
  CHECK(memory.RequestCount() == 0);
}

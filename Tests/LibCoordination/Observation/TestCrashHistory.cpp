#include "LibCoordination/Observation/CrashHistory.h"

#include <doctest/doctest.h>
#include <map>

using namespace fennelline;

namespace {

/// Entries that forward each other's messages, some of which are lost.
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
    for (auto& [name, history] : m_entries) {
      std::vector<EntryId> others = names;
      std::erase(others, name);
      Deliver(name, history.OnMembers(others, m_now));
    }
  }

  void Crash(const EntryId& aEntry, const std::string& aRequest, const BackendServerId& aServer) {
    Deliver(aEntry, m_entries.at(aEntry).OnCrash(aRequest, aServer, m_now));
  }
  void Run(Duration aTime) {
    const Time end = m_now + aTime;
    while (m_now < end) {
      m_now += Milliseconds(100);
      for (auto& [name, history] : m_entries) {
        Deliver(name, history.Tick(m_now));
      }
    }
  }
  std::size_t CountPoison(const std::string& aRequest) const {
    std::size_t count = 0;
    for (const auto& [name, history] : m_entries) {
      count += history.IsPoison(aRequest, m_now) ? 1 : 0;
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

TEST_CASE(
  "a request that crashed two servers is refused, one that crashed the same server twice is not") {
  CrashHistory history(CrashHistorySettings{}, 1);
  history.OnCrash("r", "s1", Time{});
  CHECK(history.OnCrash("r", "s1", Time{}).m_outcomes.empty());
  CHECK(!history.IsPoison("r", Time{}));
  CHECK(history.IsSuspect("r", Time{}));
  CHECK(history.HasCrashed("r", "s1", Time{}));
  const Step<PoisonFound> step = history.OnCrash("r", "s2", Time{});
  REQUIRE(step.m_outcomes.size() == 1);
  CHECK(step.m_outcomes[0].m_fingerprint == "r");
  CHECK(history.IsPoison("r", Time{}));
  CHECK(!history.IsPoison("other", Time{}));
  CHECK(!history.IsPoison("r", Time{} + Seconds(601)));
}

TEST_CASE("crashes observed at two entries become known everywhere in spite of message loss") {
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

TEST_CASE("a request that completes is cleared, and old reports do not undo this") {
  CrashHistory history(CrashHistorySettings{}, 1);
  history.OnCrash("r", "s1", Time{} + Seconds(1));
  history.OnFinished("r", Time{} + Seconds(2));
  const CrashReports old{.m_reports = {{"r", "s1", 3000}, {"r", "s2", 3000}}};
  history.OnMessage("e2#1", Message(old), Time{} + Seconds(4));
  CHECK(!history.IsPoison("r", Time{} + Seconds(4)));
  const CrashReports fresh{.m_reports = {{"r", "s3", 0}, {"r", "s4", 0}}};
  history.OnMessage("e2#1", Message(fresh), Time{} + Seconds(5));
  CHECK(history.IsPoison("r", Time{} + Seconds(5)));
}

TEST_CASE("the history is bounded and drops the oldest requests first") {
  CrashHistorySettings settings;
  settings.m_maxRequests = 100;
  CrashHistory history(settings, 1);
  for (int request = 0; request < 1000; ++request) {
    history.OnCrash("r" + std::to_string(request), "s1", Time{});
  }
  CHECK(history.RequestCount() == 100);
  CHECK(history.IsSuspect("r999", Time{}));
  CHECK(!history.IsSuspect("r0", Time{}));
  history.Tick(Time{} + Seconds(2000));
  CHECK(history.RequestCount() == 0);
}

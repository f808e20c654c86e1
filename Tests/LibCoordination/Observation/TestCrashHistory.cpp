#include "LibCoordination/Observation/CrashHistory.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace fennelline;

namespace {

CrashCauses Content(std::string aFingerprint) {
  return {.m_content = std::move(aFingerprint), .m_parts = {}};
}

/// Entries that forward each other's messages, some of which are lost.
class Fleet {
public:
  Fleet(std::size_t aCount, double aLoss, CrashHistorySettings aSettings = {},
        std::uint64_t aSeed = 1)
    : m_loss(aLoss)
    , m_settings(std::move(aSettings))
    , m_random(aCount + aSeed - 1) {
    for (std::size_t index = 0; index < aCount; ++index) {
      m_entries.emplace("e" + std::to_string(index) + "#1",
                        CrashHistory(m_settings, index + aSeed));
    }
    AnnounceMembers();
  }

  /// An entry that knows nothing yet.
  void Join(const EntryId& aEntry) {
    m_entries.emplace(aEntry, CrashHistory(m_settings, m_random.Next()));
    AnnounceMembers();
  }
  void Leave(const EntryId& aEntry) {
    m_entries.erase(aEntry);
    AnnounceMembers();
  }
  void SetLoss(double aLoss) { m_loss = aLoss; }

  void Crash(const EntryId& aEntry, const std::string& aRequest, const BackendServerId& aServer) {
    Deliver(aEntry, m_entries.at(aEntry).OnCrash(aRequest, aServer, m_now));
  }
  void CrashUnder(const EntryId& aEntry, const std::vector<CrashedRun>& aRuns,
                  const BackendServerId& aServer) {
    Deliver(aEntry, m_entries.at(aEntry).OnCrashes(aRuns, aServer, m_now));
  }
  void CrashUnder(const EntryId& aEntry, const std::string& aRequest,
                  const BackendServerId& aServer, Time aSentAt) {
    CrashUnder(aEntry, {{.m_causes = Content(aRequest), .m_sentAt = aSentAt}}, aServer);
  }
  void Finish(const EntryId& aEntry, const std::string& aRequest) {
    Deliver(aEntry, m_entries.at(aEntry).OnFinished(Content(aRequest), m_now));
  }
  bool MayRun(const EntryId& aEntry, const std::string& aRequest, CrashTrial& aTrial) {
    Step<VerdictChanged> step;
    const bool mayRun = m_entries.at(aEntry).MayRun(Content(aRequest), aTrial, m_now, step);
    Deliver(aEntry, step);
    return mayRun;
  }
  void TrialSent(const EntryId& aEntry, const CrashTrial& aTrial) {
    Deliver(aEntry, m_entries.at(aEntry).OnTrialSent(aTrial, m_now));
  }
  /// Sends the request if it may run.
  bool Send(const EntryId& aEntry, const CrashCauses& aRequest) {
    CrashTrial trial;
    Step<VerdictChanged> step;
    const bool mayRun = m_entries.at(aEntry).MayRun(aRequest, trial, m_now, step);
    Deliver(aEntry, step);
    if (mayRun) {
      TrialSent(aEntry, trial);
    }
    return mayRun;
  }
  bool Send(const EntryId& aEntry, const std::string& aRequest) {
    return Send(aEntry, Content(aRequest));
  }
  void Begin(const EntryId& aEntry, const CrashCauses& aRequest) {
    Deliver(aEntry, m_entries.at(aEntry).OnBegun(aRequest, m_now));
  }
  std::size_t CountRequests(const EntryId& aEntry) const {
    return m_entries.at(aEntry).RequestCount();
  }
  /// Whether requests with the cause are refused, or sent one at a time.
  bool IsRefusedOrTried(const EntryId& aEntry, const std::string& aCause) const {
    return !m_entries.at(aEntry).RefusedCause({.m_content = aCause, .m_parts = {}}, m_now).empty();
  }
  std::vector<EntryId> Names() const {
    std::vector<EntryId> names;
    for (const auto& [name, history] : m_entries) {
      names.push_back(name);
    }
    return names;
  }
  Time Now() const { return m_now; }
  std::size_t CountMessages() const { return m_messages; }
  std::size_t LargestMessage() const { return m_largestMessage; }
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
  void AnnounceMembers() {
    const std::vector<EntryId> names = Names();
    for (const EntryId& name : names) {
      std::vector<EntryId> others = names;
      std::erase(others, name);
      Deliver(name, m_entries.at(name).OnMembers(others, m_now));
    }
  }
  void Deliver(const EntryId& aFrom, const Step<VerdictChanged>& aStep) {
    for (const Effect& effect : aStep.m_effects) {
      const SendMessage& sent = std::get<SendMessage>(effect);
      ++m_messages;
      if (const CrashReports* reports = std::get_if<CrashReports>(&sent.m_message)) {
        m_largestMessage = std::max(m_largestMessage, reports->m_reports.size());
      }
      if (!m_random.Chance(m_loss) && m_entries.contains(sent.m_to)) {
        Deliver(sent.m_to, m_entries.at(sent.m_to).OnMessage(aFrom, sent.m_message, m_now));
      }
    }
  }

  double m_loss;
  CrashHistorySettings m_settings;
  Random m_random;
  std::size_t m_messages = 0;
  std::size_t m_largestMessage = 0;
  Time m_now{};
  std::map<EntryId, CrashHistory> m_entries;
};

/// Refusals as on the users' platform.
CrashHistorySettings ShortRefusals() {
  constexpr Duration kDay = std::chrono::hours(24);
  CrashHistorySettings settings;
  settings.m_overlapRefusalTime = Duration(0);
  settings.m_refusalTimes = {Seconds(5), Seconds(60), kDay};
  settings.m_antiEntropyInterval = Milliseconds(500);
  settings.m_maxRequestsPerMessage = 8;
  settings.m_completionMemory = Seconds(30);
  return settings;
}

} // namespace

TEST_CASE(
  "a request that crashed two servers is refused, one that crashed the same server twice is not") {
  CrashHistory history(CrashHistorySettings{}, 1);
  history.OnCrash("r", "s1", Time{});
  CHECK(history.OnCrash("r", "s1", Time{}).m_outcomes.empty());
  CHECK(!history.IsPoison("r", Time{}));
  CHECK(history.IsSuspect("r", Time{}));
  CHECK(history.HasCrashed("r", "s1", Time{}));
  const Step<VerdictChanged> step = history.OnCrash("r", "s2", Time{});
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
  history.OnFinished(Content("r"), Time{} + Seconds(2));
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

TEST_CASE("a request whose run began after a crash and crashed too is refused, then tried again") {
  Fleet fleet(3, 0.0, ShortRefusals());
  const Time first = fleet.Now();
  fleet.CrashUnder("e0#1", "r", "s1", first);
  CHECK(fleet.Send("e1#1", "r"));
  fleet.Run(Milliseconds(100));
  fleet.CrashUnder("e1#1", "r", "s2", first + Milliseconds(50));
  CHECK(!fleet.Send("e2#1", "r"));
  fleet.Run(Milliseconds(4900));
  CHECK(!fleet.Send("e2#1", "r"));
  fleet.Run(Milliseconds(200));
  CHECK(fleet.Send("e2#1", "r"));
  const Time sent = fleet.Now();
  fleet.Run(Milliseconds(100));
  CHECK(!fleet.Send("e0#1", "r"));
  fleet.CrashUnder("e2#1", "r", "s3", sent);
  fleet.Run(Seconds(59));
  CHECK(!fleet.Send("e0#1", "r"));
  fleet.Run(Seconds(1));
  CHECK(fleet.Send("e0#1", "r"));
  fleet.Run(Seconds(3600));
  CHECK(!fleet.Send("e0#1", "r"));
}

TEST_CASE("after crashes under overlapping runs, one request is sent as a trial") {
  Fleet fleet(3, 0.0, ShortRefusals());
  const Time sent = fleet.Now();
  fleet.Run(Milliseconds(100));
  fleet.CrashUnder("e0#1", "r", "s1", sent);
  fleet.CrashUnder("e1#1", "r", "s2", sent);
  fleet.CrashUnder("e2#1", "r", "s3", sent);
  CrashTrial trial;
  CHECK(fleet.MayRun("e1#1", "r", trial));
  // The permission is kept until the request has been sent.
  CHECK(fleet.MayRun("e1#1", "r", trial));
  CHECK(!fleet.Send("e0#1", "r"));
  CHECK(!fleet.Send("e1#1", "r"));
  SUBCASE("it completes") {
    fleet.TrialSent("e1#1", trial);
    CHECK(!fleet.MayRun("e1#1", "r", trial));
    fleet.Finish("e1#1", "r");
    for (const EntryId& entry : fleet.Names()) {
      CHECK(fleet.Send(entry, "r"));
      CHECK(fleet.Send(entry, "r"));
    }
  }
  SUBCASE("it ends without a result") {
    fleet.TrialSent("e1#1", trial);
    fleet.Run(Milliseconds(4900));
    CHECK(!fleet.Send("e0#1", "r"));
    fleet.Run(Milliseconds(200));
    CHECK(fleet.Send("e0#1", "r"));
    CHECK(!fleet.Send("e2#1", "r"));
  }
  SUBCASE("no server accepts it") {
    fleet.Run(Milliseconds(900));
    CHECK(!fleet.Send("e0#1", "r"));
    fleet.Run(Milliseconds(200));
    CHECK(fleet.Send("e0#1", "r"));
  }
}

TEST_CASE("a run that began after the first of several crashes confirms, one before it does not") {
  Fleet fleet(3, 0.0, ShortRefusals());
  const Time sent = fleet.Now();
  fleet.Run(Milliseconds(100));
  fleet.CrashUnder("e0#1", "r", "s1", sent);
  const Time retried = fleet.Now();
  fleet.Run(Milliseconds(100));
  fleet.CrashUnder("e1#1", "r", "s2", sent);
  SUBCASE("after") {
    fleet.CrashUnder("e0#1", "r", "s3", retried);
    CHECK(fleet.CountPoison("r") == 3);
  }
  SUBCASE("before") {
    fleet.CrashUnder("e2#1", "r", "s3", sent);
    CHECK(fleet.CountPoison("r") == 0);
  }
}

TEST_CASE("a request that completes at one entry is cleared at all of them") {
  Fleet fleet(3, 0.0, ShortRefusals());
  fleet.CrashUnder("e0#1", "r", "s1", fleet.Now());
  fleet.CrashUnder("e1#1", "r", "s2", fleet.Now());
  CHECK(fleet.CountPoison("r") == 3);
  fleet.Run(Seconds(1));
  fleet.Finish("e2#1", "r");
  CHECK(fleet.CountPoison("r") == 0);
  fleet.Run(Seconds(10));
  CHECK(fleet.CountPoison("r") == 0);
}

TEST_CASE("a request that completed lately is not refused for servers that crash beside it") {
  Fleet fleet(3, 0.0, ShortRefusals());
  fleet.Finish("e0#1", "r");
  fleet.Run(Seconds(10));
  // Neither by the entry that saw it complete nor, once told, by the others.
  for (const char* entry : {"e0#1", "e1#1"}) {
    const Time sent = fleet.Now();
    fleet.CrashUnder(entry, "r", std::string("s1") + entry, sent);
    fleet.CrashUnder(entry, "r", std::string("s2") + entry, sent);
    fleet.Run(Milliseconds(100));
    CHECK(fleet.CountPoison("r") == 0);
    CHECK(fleet.Send(entry, "r"));
    CHECK(fleet.Send(entry, "r"));
  }
  fleet.Run(Seconds(21));
  fleet.CrashUnder("e1#1", "r", "s3", fleet.Now());
  fleet.CrashUnder("e1#1", "r", "s4", fleet.Now());
  CHECK(fleet.CountPoison("r") == 3);
}

TEST_CASE("completions are remembered in bounded number") {
  CrashHistorySettings settings = ShortRefusals();
  settings.m_maxCompletions = 100;
  CrashHistory history(settings, 1);
  for (int request = 0; request < 1000; ++request) {
    history.OnFinished(Content("r" + std::to_string(request)), Time{});
  }
  CHECK(history.CountCompletions() == 100);
  history.OnCrash("r999", "s1", Time{});
  CHECK(!history.IsSuspect("r999", Time{}));
  history.OnCrash("r0", "s1", Time{});
  CHECK(history.IsSuspect("r0", Time{}));
  history.Tick(Time{} + Seconds(31));
  CHECK(history.CountCompletions() == 0);
}

TEST_CASE("an entry that starts later, or lost all messages, learns what is refused") {
  Fleet fleet(5, 0.0, ShortRefusals());
  fleet.Run(Seconds(1));
  fleet.SetLoss(1.0);
  fleet.CrashUnder("e0#1", "r", "s1", fleet.Now());
  fleet.CrashUnder("e0#1", "r", "s2", fleet.Now());
  fleet.Run(Seconds(1));
  CHECK(fleet.CountPoison("r") == 1);
  fleet.SetLoss(0.0);
  SUBCASE("starts later") {
    fleet.Join("late#1");
    CHECK(!fleet.Send("late#1", "r"));
  }
  SUBCASE("lost all messages") {
    fleet.Run(Milliseconds(2900));
    CHECK(fleet.CountPoison("r") == 5);
  }
}

TEST_CASE("an entry that missed the first crash is told of the refusal after the second") {
  CrashHistorySettings settings = ShortRefusals();
  settings.m_overlapRefusalTime = Seconds(5);
  settings.m_antiEntropyInterval = Seconds(60);
  Fleet fleet(3, 1.0, settings);
  fleet.Crash("e0#1", "r", "s1");
  fleet.Run(Seconds(1));
  fleet.SetLoss(0.0);
  fleet.Crash("e1#1", "r", "s2");
  fleet.Run(Milliseconds(300));
  CHECK(fleet.CountPoison("r") == 3);
}

TEST_CASE("a record in the store restores a refusal, unless the content was cleared since") {
  CrashHistory history(ShortRefusals(), 1);
  const Time now{Seconds(100)};
  CHECK(history.OnRecord("r", 3, now).m_outcomes.size() == 1);
  CHECK(history.IsPoison("r", now + Seconds(59)));
  CHECK(!history.IsPoison("r", now + Seconds(61)));
  history.OnFinished(Content("r"), now + Seconds(61));
  CHECK(history.OnRecord("r", 3, now + Seconds(62)).m_outcomes.empty());
  CHECK(!history.IsPoison("r", now + Seconds(62)));
}

TEST_CASE("many contents beside crashes neither displace a refused one nor make messages long") {
  CrashHistorySettings settings = ShortRefusals();
  settings.m_maxRequests = 200;
  Fleet fleet(9, 0.0, settings);
  fleet.CrashUnder("e0#1", "r", "s1", fleet.Now());
  fleet.CrashUnder("e0#1", "r", "s2", fleet.Now());
  for (int request = 0; request < 2000; ++request) {
    fleet.Crash("e" + std::to_string(request % 9) + "#1", "other" + std::to_string(request), "s3");
  }
  CHECK(fleet.CountPoison("r") == 9);
  std::vector<CrashedRun> runs;
  for (int request = 0; request < 100; ++request) {
    runs.push_back(
      {.m_causes = Content("beside" + std::to_string(request)), .m_sentAt = fleet.Now()});
  }
  fleet.CrashUnder("e0#1", runs, "s4");
  CHECK(fleet.LargestMessage() <= 2 * settings.m_maxRequestsPerMessage);
  fleet.Run(Seconds(1));
  const std::size_t before = fleet.CountMessages();
  fleet.Run(Seconds(10));
  // What was only beside one crash is no longer told; what is refused goes to one member in turn.
  CHECK(fleet.CountMessages() - before <= 9 * 2 * 20 + 9 * 2);
}

TEST_CASE("a second crash just before the first is forgotten still leads to a refusal") {
  CrashHistory history(CrashHistorySettings{}, 1);
  history.OnCrash("r", "s1", Time{});
  history.OnCrash("r", "s2", Time{} + Seconds(599));
  history.Tick(Time{} + Seconds(1198));
  CHECK(history.IsPoison("r", Time{} + Seconds(1198)));
  CHECK(history.OnCrash("q", "s1", Time{} + Seconds(1198)).m_outcomes.empty());
  CHECK(history.OnCrash("q", "s2", Time{} + Seconds(1799)).m_outcomes.empty());
}

TEST_CASE("a request is remembered for as long as its last crash") {
  CrashHistorySettings settings;
  settings.m_crashesToRefuse = 3;
  CrashHistory history(settings, 1);
  history.OnCrash("r", "s1", Time{});
  history.OnCrash("r", "s2", Time{} + Seconds(590));
  history.Tick(Time{} + Seconds(650));
  history.OnCrash("r", "s3", Time{} + Seconds(700));
  CHECK(!history.IsPoison("r", Time{} + Seconds(700)));
  history.OnCrash("r", "s4", Time{} + Seconds(750));
  CHECK(history.IsPoison("r", Time{} + Seconds(750)));
}

/// A request of the account, no two alike, with these shared parts in its prompt.
CrashCauses Prompt(const std::string& aAccount, const std::vector<std::string>& aParts) {
  static int number = 0;
  CrashCauses causes = Content("prompt" + std::to_string(number++));
  for (const std::string& part : aParts) {
    causes.m_parts.push_back({.m_inAccount = part + kAccountMark + aAccount, .m_anywhere = part});
  }
  return causes;
}

TEST_CASE("a part is refused in one account after crashes under two contents, and others use it") {
  Fleet fleet(9, 0.0, ShortRefusals());
  fleet.CrashUnder("e0#1", {{.m_causes = Prompt("a", {"bad"}), .m_sentAt = fleet.Now()}}, "s1");
  CHECK(fleet.Send("e5#1", Prompt("a", {"bad"})));
  fleet.Run(Milliseconds(100));
  fleet.CrashUnder("e5#1", {{.m_causes = Prompt("a", {"bad"}), .m_sentAt = fleet.Now()}}, "s2");
  for (const EntryId& entry : fleet.Names()) {
    CHECK(!fleet.Send(entry, Prompt("a", {"good", "bad"})));
    CHECK(fleet.Send(entry, Prompt("b", {"bad"})));
    CHECK(fleet.Send(entry, Prompt("a", {"good"})));
  }
}

TEST_CASE("a part is refused in all requests after crashes in two accounts") {
  Fleet fleet(9, 0.0, ShortRefusals());
  fleet.CrashUnder("e0#1", {{.m_causes = Prompt("a", {"bad"}), .m_sentAt = fleet.Now()}}, "s1");
  fleet.Run(Milliseconds(100));
  fleet.CrashUnder("e1#1", {{.m_causes = Prompt("b", {"bad"}), .m_sentAt = fleet.Now()}}, "s2");
  for (const EntryId& entry : fleet.Names()) {
    CHECK(!fleet.Send(entry, Prompt("c", {"bad", "good"})));
  }
}

TEST_CASE("a content that crashes servers again and again does not make its parts look guilty") {
  Fleet fleet(3, 0.0, ShortRefusals());
  const CrashCauses causes = Prompt("a", {"victim"});
  for (const char* server : {"s1", "s2", "s3", "s4", "s5", "s6"}) {
    fleet.CrashUnder("e0#1", {{.m_causes = causes, .m_sentAt = fleet.Now()}}, server);
    fleet.Run(Milliseconds(100));
  }
  CHECK(!fleet.Send("e1#1", causes));
  CHECK(fleet.Send("e1#1", Prompt("a", {"victim"})));
}

TEST_CASE("one account cannot make a part that others use look guilty, whatever it sends") {
  Fleet fleet(3, 0.0, ShortRefusals());
  for (int server = 0; server < 50; ++server) {
    fleet.CrashUnder("e0#1",
                     {{.m_causes = Prompt("attacker", {"victim"}), .m_sentAt = fleet.Now()}},
                     "s" + std::to_string(server));
    fleet.Run(Milliseconds(100));
  }
  CHECK(!fleet.Send("e1#1", Prompt("attacker", {"victim"})));
  CHECK(fleet.Send("e1#1", Prompt("victim", {"victim"})));
}

TEST_CASE("a part that begins well elsewhere is not refused for the crashes it is beside") {
  Fleet fleet(9, 0.0, ShortRefusals());
  fleet.Begin("e3#1", Prompt("a", {"popular"}));
  fleet.Run(Seconds(5));
  for (int server = 0; server < 4; ++server) {
    const CrashCauses causes = Prompt("a", {"popular", "bad"});
    fleet.CrashUnder("e" + std::to_string(server) + "#1",
                     {{.m_causes = causes, .m_sentAt = fleet.Now()}}, "s" + std::to_string(server));
    fleet.Run(Milliseconds(300));
  }
  for (const EntryId& entry : fleet.Names()) {
    CHECK(fleet.Send(entry, Prompt("a", {"popular"})));
    CHECK(!fleet.Send(entry, Prompt("a", {"popular", "bad"})));
  }
}

TEST_CASE("a part that ran well before is refused once it has crashed enough servers since") {
  Fleet fleet(9, 0.0, ShortRefusals());
  fleet.Begin("e3#1", Prompt("a", {"turned"}));
  fleet.Run(Seconds(1));
  for (int server = 0; server < 5; ++server) {
    const CrashCauses causes = Prompt("a", {"turned"});
    CHECK(fleet.Send("e8#1", causes));
    fleet.CrashUnder("e" + std::to_string(server) + "#1",
                     {{.m_causes = causes, .m_sentAt = fleet.Now()}}, "s" + std::to_string(server));
    fleet.Run(Milliseconds(300));
  }
  for (const EntryId& entry : fleet.Names()) {
    CHECK(!fleet.Send(entry, Prompt("a", {"turned"})));
  }
}

TEST_CASE("a part refused beside the guilty one is tried without it, and then served") {
  Fleet fleet(3, 0.0, ShortRefusals());
  for (const char* server : {"s1", "s2"}) {
    fleet.CrashUnder(
      "e0#1", {{.m_causes = Prompt("a", {"victim", "bad"}), .m_sentAt = fleet.Now()}}, server);
    fleet.Run(Milliseconds(100));
  }
  // A crash under both would not tell them apart.
  CHECK(!fleet.Send("e0#1", Prompt("a", {"victim", "bad"})));
  const CrashCauses alone = Prompt("a", {"victim"});
  CHECK(fleet.Send("e1#1", alone));
  CHECK(!fleet.Send("e2#1", Prompt("a", {"victim"})));
  fleet.Begin("e1#1", alone);
  CHECK(fleet.Send("e2#1", Prompt("a", {"victim"})));
  const CrashCauses withBad = Prompt("a", {"victim", "bad"});
  CHECK(fleet.Send("e0#1", withBad));
  fleet.CrashUnder("e0#1", {{.m_causes = withBad, .m_sentAt = fleet.Now()}}, "s3");
  CHECK(!fleet.Send("e1#1", Prompt("a", {"victim", "bad"})));
  CHECK(fleet.Send("e0#1", Prompt("a", {"victim"})));
}

TEST_CASE("parts that are only sent together are tried together in the end") {
  Fleet fleet(3, 0.0, ShortRefusals());
  for (const char* server : {"s1", "s2"}) {
    fleet.CrashUnder("e0#1", {{.m_causes = Prompt("a", {"one", "two"}), .m_sentAt = fleet.Now()}},
                     server);
    fleet.Run(Milliseconds(100));
  }
  fleet.Run(Seconds(66));
  CHECK(fleet.Send("e0#1", Prompt("a", {"one", "two"})));
  CHECK(!fleet.Send("e1#1", Prompt("a", {"one", "two"})));
}

TEST_CASE("a crash under a part that is known to crash servers is not laid on what ran beside it") {
  Fleet fleet(3, 0.0, ShortRefusals());
  for (const char* server : {"s1", "s2"}) {
    fleet.CrashUnder("e0#1", {{.m_causes = Prompt("a", {"bad"}), .m_sentAt = fleet.Now()}}, server);
    fleet.Run(Milliseconds(100));
  }
  for (const char* server : {"s3", "s4"}) {
    fleet.CrashUnder("e0#1",
                     {{.m_causes = Prompt("a", {"bad", "beside"}), .m_sentAt = fleet.Now()},
                      {.m_causes = Prompt("a", {"other"}), .m_sentAt = fleet.Now()}},
                     server);
  }
  CHECK(fleet.Send("e1#1", Prompt("a", {"beside"})));
  CHECK(fleet.Send("e1#1", Prompt("a", {"other"})));
}

TEST_CASE("made-up parts in sound requests do not make a popular one forgotten") {
  CrashHistorySettings settings = ShortRefusals();
  settings.m_maxCompletions = 100;
  CrashHistory history(settings, 1);
  for (int request = 0; request < 500; ++request) {
    history.OnBegun(Prompt("a", {"popular"}), Time{});
    for (int part = 0; part < 20; ++part) {
      const std::string madeUp = "made-up" + std::to_string(request * 20 + part);
      history.OnBegun(Prompt("attacker", {madeUp}), Time{});
    }
  }
  CHECK(history.CountCompletions() == 100);
  for (const char* server : {"s1", "s2"}) {
    history.OnCrashes({{.m_causes = Prompt("a", {"popular"}), .m_sentAt = Time{}}}, server, Time{});
  }
  CHECK(!history.IsPoison("popular@a", Time{}));
}

TEST_CASE(
  "five hundred parts that crash servers at once are refused everywhere, in bounded memory") {
  CrashHistorySettings settings = ShortRefusals();
  settings.m_maxRequests = 4000;
  Fleet fleet(9, 0.03, settings);
  constexpr int kParts = 500;
  int server = 0;
  for (int round = 0; round < 2; ++round) {
    for (int part = 0; part < kParts; ++part) {
      const CrashCauses causes =
        Prompt("a" + std::to_string(round), {"bad" + std::to_string(part)});
      fleet.CrashUnder("e" + std::to_string((part + round) % 9) + "#1",
                       {{.m_causes = causes, .m_sentAt = fleet.Now()}},
                       "s" + std::to_string(server++));
    }
    fleet.Run(Seconds(1));
  }
  fleet.Run(Seconds(3));
  for (const EntryId& entry : fleet.Names()) {
    std::size_t refused = 0;
    for (int part = 0; part < kParts; ++part) {
      refused += fleet.IsRefusedOrTried(entry, "bad" + std::to_string(part)) ? 1 : 0;
    }
    CHECK(refused >= kParts * 95 / 100);
    CHECK(fleet.CountRequests(entry) <= settings.m_maxRequests);
  }
  CHECK(fleet.LargestMessage() <=
        settings.m_crashesToRefuseSound * settings.m_maxRequestsPerMessage);
}

TEST_CASE("entries together send a crashing part at most three times later than the contact time") {
  // Nobody sends the same content twice; half of the runs begin before others have crashed.
  constexpr Duration kContactTime = Seconds(3);
  constexpr std::size_t kAllowedLate = 3;
  constexpr std::size_t kCrashesBefore = 5;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    Fleet fleet(9, 0.03, ShortRefusals(), seed);
    struct Run {
      EntryId m_entry;
      CrashCauses m_causes;
      Time m_sentAt{};
      Time m_crashesAt{};
    };
    std::vector<Run> running;
    std::vector<Time> crashes;
    std::size_t late = 0;
    std::size_t starts = 9;
    const double perTick = seed % 3 == 0 ? 0.9 : 0.15;
    const std::size_t accounts = 1 + seed % 4;
    const Time end = fleet.Now() + Seconds(90);
    while (fleet.Now() < end) {
      fleet.Run(Milliseconds(100));
      const std::vector<EntryId> names = fleet.Names();
      if (random.Chance(0.005)) {
        fleet.Leave(names[random.Below(names.size())]);
        fleet.Join("e" + std::to_string(starts++) + "#1");
        fleet.Run(kContactTime);
      }
      for (const Run& run : running) {
        const std::vector<EntryId> live = fleet.Names();
        if (run.m_crashesAt <= fleet.Now()) {
          crashes.push_back(fleet.Now());
          if (std::find(live.begin(), live.end(), run.m_entry) != live.end()) {
            fleet.CrashUnder(run.m_entry, {{.m_causes = run.m_causes, .m_sentAt = run.m_sentAt}},
                             "s" + std::to_string(crashes.size()));
          }
        }
      }
      std::erase_if(running, [&fleet](const Run& aRun) { return aRun.m_crashesAt <= fleet.Now(); });
      const std::vector<EntryId> live = fleet.Names();
      fleet.Begin(live[random.Below(live.size())], Prompt("a0", {"popular"}));
      const EntryId& entry = live[random.Below(live.size())];
      const std::string account = "a" + std::to_string(random.Below(accounts));
      const CrashCauses causes = Prompt(account, {"popular", "bad"});
      if (random.Chance(perTick) && fleet.Send(entry, causes)) {
        const bool isLate = crashes.size() >= kCrashesBefore &&
                            fleet.Now() > crashes[kCrashesBefore - 1] + kContactTime;
        late += isLate ? 1 : 0;
        running.push_back({.m_entry = entry,
                           .m_causes = causes,
                           .m_sentAt = fleet.Now(),
                           .m_crashesAt = fleet.Now() + std::chrono::duration_cast<Duration>(
                                                          Seconds(1) * random.Uniform())});
      }
      CHECK(fleet.Send(live.front(), Prompt("a1", {"popular"})));
    }
    CHECK(crashes.size() >= 2);
    CHECK(late <= kAllowedLate);
  }
}

TEST_CASE(
  "entries together send a crashing request at most three times later than the contact time") {
  // Crashes show only after a while, messages get lost, and entries are replaced by new ones.
  constexpr Duration kContactTime = Seconds(3);
  constexpr std::size_t kAllowedRetries = 3;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    Fleet fleet(9, 0.03, ShortRefusals(), seed);
    struct Run {
      EntryId m_entry;
      Time m_sentAt{};
      Time m_crashesAt{};
    };
    std::vector<Run> running;
    std::vector<Time> crashes;
    std::size_t lateRetries = 0;
    std::size_t starts = 9;
    const Duration slowest = Milliseconds(seed % 2 == 0 ? 20 : 2000);
    const Time end = fleet.Now() + Seconds(120);
    while (fleet.Now() < end) {
      fleet.Run(Milliseconds(100));
      const std::vector<EntryId> names = fleet.Names();
      if (random.Chance(0.005)) {
        fleet.Leave(names[random.Below(names.size())]);
        fleet.Join("e" + std::to_string(starts++) + "#1");
        fleet.Run(kContactTime);
      }
      for (const Run& run : running) {
        if (run.m_crashesAt <= fleet.Now()) {
          crashes.push_back(fleet.Now());
          const std::vector<EntryId> live = fleet.Names();
          if (std::find(live.begin(), live.end(), run.m_entry) != live.end()) {
            fleet.CrashUnder(run.m_entry, "r", "s" + std::to_string(crashes.size()), run.m_sentAt);
          }
        }
      }
      std::erase_if(running, [&fleet](const Run& aRun) { return aRun.m_crashesAt <= fleet.Now(); });
      const std::vector<EntryId> live = fleet.Names();
      const EntryId& entry = live[random.Below(live.size())];
      if (random.Chance(0.2) && fleet.Send(entry, "r")) {
        const bool isLate = crashes.size() >= 3 && fleet.Now() > crashes[2] + kContactTime;
        lateRetries += isLate ? 1 : 0;
        running.push_back({.m_entry = entry,
                           .m_sentAt = fleet.Now(),
                           .m_crashesAt = fleet.Now() + std::chrono::duration_cast<Duration>(
                                                          slowest * random.Uniform())});
      }
    }
    CHECK(crashes.size() >= 3);
    CHECK(lateRetries <= kAllowedRetries);
  }
}

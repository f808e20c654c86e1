#include "LibCoordination/Session/SessionPins.h"
#include "LibCoordination/Session/SessionTokens.h"
#include "Tests/LibCoordination/Fakes/SimulatedCluster.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <set>

using namespace fennelline;

namespace {

constexpr int kEntries = 5;

struct PinWorld {
  explicit PinWorld(std::uint64_t aSeed, FakeFaults aFaults)
    : m_world(aSeed, aFaults) {
    m_world.OnOutcome([this](const EntryId& aEntry, const ClaimOutcomeReport& aReport) {
      Finish(aEntry, aReport);
    });
    const ClaimSettings settings{.m_shardCount = 2,
                                 .m_holderRefresh = Seconds(2),
                                 .m_lossDelay = Milliseconds(1500),
                                 .m_absentDelay = Milliseconds(800),
                                 .m_takeoverDelay = Milliseconds(300),
                                 .m_callTimeout = Milliseconds(500),
                                 .m_handoverTimeout = Milliseconds(200)};
    for (int i = 0; i < kEntries; ++i) {
      const EntryId entry = "entry-" + std::to_string(i) + "#1";
      const DataCentre dataCentre = "dc-" + std::to_string(i % 3);
      m_world.Add(entry, dataCentre, ClaimTable(settings, entry, dataCentre, aSeed + i));
    }
    m_world.Run(m_world.Now() + Seconds(6));
  }

  /// Sends a first request of a session. Each entry proposes a different version.
  void SendFirstRequest(const EntryId& aEntry, const std::string& aName) {
    const std::uint64_t ticket = ++m_tickets;
    m_world.AtEntry(m_world.Now(), aEntry, [this, aEntry, aName, ticket](ClaimTable& aTable) {
      m_world.Apply(aEntry, SessionPins::Begin(aTable, ticket, "consolas", aName,
                                               m_world.Now() + Seconds(2), m_world.Now()));
    });
  }

  void Finish(const EntryId& aEntry, const ClaimOutcomeReport& aReport) {
    const std::string proposed = "tagger@" + aEntry;
    Step<SessionPin> step =
      SessionPins::Finish(m_world.Of(aEntry), aReport, proposed, m_world.Now());
    REQUIRE(step.m_outcomes.size() == 1);
    const SessionPin& pin = step.m_outcomes.front();
    if (pin.m_result == SessionPin::Result::Pinned) {
      m_versions[pin.m_name].insert(pin.m_version);
      ++m_pinned;
    }
    m_world.Apply(aEntry, {.m_effects = std::move(step.m_effects), .m_outcomes = {}});
  }

  SimulatedCluster<ClaimTable, ClaimOutcomeReport> m_world;
  std::uint64_t m_tickets = 0;
  std::size_t m_pinned = 0;
  /// The versions that first requests of each session were given.
  std::map<std::string, std::set<std::string>> m_versions;
};

void RunSeed(std::uint64_t aSeed, std::size_t& aPinned) {
  INFO("seed " << aSeed);
  PinWorld pins(aSeed, {.m_loss = 0.05, .m_doubling = 0.05, .m_slow = 0.03, .m_lostReply = 0.1});
  Random& dice = pins.m_world.Dice();
  for (int round = 0; round < 60; ++round) {
    const std::vector<EntryId> entries = pins.m_world.Entries();
    const std::string name = "session-" + std::to_string(dice.Below(15));
    for (std::uint64_t i = 0; i <= dice.Below(3); ++i) {
      pins.SendFirstRequest(entries[dice.Below(entries.size())], name);
    }
    if (dice.Chance(0.04) && entries.size() > 3) {
      pins.m_world.Crash(entries[dice.Below(entries.size())]);
    } else if (dice.Chance(0.05)) {
      pins.m_world.Pause(entries[dice.Below(entries.size())], Seconds(3));
    }
    pins.m_world.Run(pins.m_world.Now() + Milliseconds(static_cast<std::int64_t>(dice.Below(300))));
  }
  pins.m_world.Run(pins.m_world.Now() + Seconds(5));
  for (const std::pair<const std::string, std::set<std::string>>& versions : pins.m_versions) {
    INFO(versions.first);
    CHECK(versions.second.size() == 1);
  }
  aPinned += pins.m_pinned;
}

} // namespace

TEST_CASE("a token is valid only for its customer, and with each of the keys") {
  const SessionTokens old({"old key"});
  const SessionTokens rotated({"new key", "old key"});
  const SessionTokens unrelated({"another key"});
  const SessionToken session{.m_name = "desk 7. día", .m_version = "tagger@3.1"};
  const std::string text = old.Sign("consolas", session);
  REQUIRE(rotated.Verify("consolas", text));
  CHECK(rotated.Verify("consolas", text).Get() == session);
  CHECK(rotated.Verify("mopane", text).IsError());
  CHECK(unrelated.Verify("consolas", text).IsError());
  CHECK(SessionTokens({}).Verify("consolas", text).IsError());
  CHECK(old.Verify("consolas", rotated.Sign("consolas", session)).IsError());
  CHECK(SessionTokens::LooksLikeToken(text));
  CHECK_FALSE(SessionTokens::LooksLikeToken("desk.7"));
}

TEST_CASE("a token with any byte changed is rejected") {
  const SessionTokens tokens({"key"});
  const std::string text = tokens.Sign("consolas", {.m_name = "desk-7", .m_version = "tagger@3"});
  for (std::size_t at = 0; at < text.size(); ++at) {
    std::string changed = text;
    changed[at] = changed[at] == 'a' ? 'b' : 'a';
    INFO(changed);
    CHECK(tokens.Verify("consolas", changed).IsError());
  }
}

TEST_CASE("the name and the version of a token cannot be confused") {
  const SessionTokens tokens({"key"});
  const std::string first = tokens.Sign("c", {.m_name = "a.b", .m_version = "c"});
  const std::string second = tokens.Sign("c", {.m_name = "a", .m_version = "b.c"});
  CHECK(first.substr(first.rfind('.')) != second.substr(second.rfind('.')));
}

TEST_CASE("concurrent first requests of a session agree on one version over many seeds") {
  const char* const single = std::getenv("FENNELLINE_SEED");
  const std::uint64_t first = single == nullptr ? 1 : std::strtoull(single, nullptr, 10);
  const std::uint64_t last = single == nullptr ? 100 : first;
  std::size_t pinned = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    RunSeed(seed, pinned);
  }
  MESSAGE("first requests that got a version: " << pinned);
  CHECK(pinned > 50 * (last - first + 1));
}

#include "Tests/LibCoordination/Claims/ClaimWorld.h"

#include <cstdlib>

using namespace fennelline;

namespace {

constexpr int kEntries = 6;
constexpr int kKeys = 40;
constexpr Duration kSendingTime = Seconds(14);

/// Injects one random fault: a crash, a pause, a platform outage or a partition.
void InjectFault(ClaimWorld& aWorld) {
  SimulatedCluster<ClaimTable, ClaimOutcomeReport>& world = aWorld.World();
  Random& dice = world.Dice();
  const std::vector<EntryId> entries = world.Entries();
  const EntryId& entry = entries[dice.Below(entries.size())];
  switch (dice.Below(6)) {
    case 0:
    case 1:
      world.Crash(entry);
      aWorld.Add(static_cast<int>(dice.Below(3)));
      break;
    case 2:
    case 3:
      world.Pause(entry, Milliseconds(static_cast<std::int64_t>(dice.Below(8000))));
      break;
    case 4:
      world.SetOutage(true);
      world.At(world.Now() + Milliseconds(static_cast<std::int64_t>(dice.Below(5000))),
               [&world] { world.SetOutage(false); });
      break;
    default:
      world.Partition({entry, entries[dice.Below(entries.size())]});
      world.At(world.Now() + Milliseconds(static_cast<std::int64_t>(dice.Below(6000))),
               [&world] { world.Partition({}); });
      break;
  }
}

/// Sends a random key to one to three random entries, sometimes with a different body.
void SendRandomRequests(ClaimWorld& aWorld) {
  SimulatedCluster<ClaimTable, ClaimOutcomeReport>& world = aWorld.World();
  Random& dice = world.Dice();
  const std::string key = "key-" + std::to_string(dice.Below(kKeys));
  const std::vector<EntryId> entries = world.Entries();
  const std::size_t senders = 1 + dice.Below(3);
  for (std::size_t i = 0; i < senders; ++i) {
    const std::string body = dice.Chance(0.95) ? "body" : "another body";
    aWorld.Send(entries[dice.Below(entries.size())], key, body,
                Milliseconds(100 + static_cast<std::int64_t>(dice.Below(2000))));
  }
}

/// How often each result occurred over all seeds, to check that the runs exercise all of them.
using Totals = std::map<ClaimResult, std::size_t>;

void RunSeed(std::uint64_t aSeed, Totals& aTotals) {
  INFO("seed " << aSeed);
  FakeFaults faults{
    .m_loss = 0.03, .m_doubling = 0.03, .m_slow = 0.03, .m_lostReply = 0.1, .m_silentReply = 0.05};
  ClaimWorld claims(aSeed, faults);
  claims.m_sendDelay = Milliseconds(static_cast<std::int64_t>(aSeed % 3) * 40);
  claims.m_answerLoss = 0.05;
  claims.Start(kEntries);
  SimulatedCluster<ClaimTable, ClaimOutcomeReport>& world = claims.World();
  const Time end = world.Now() + kSendingTime;
  while (world.Now() < end) {
    if (world.Dice().Chance(0.03)) {
      InjectFault(claims);
    }
    SendRandomRequests(claims);
    claims.RunFor(Milliseconds(static_cast<std::int64_t>(world.Dice().Below(120))));
  }
  claims.RunFor(Seconds(5));
  claims.CheckAll();
  for (const std::pair<ClaimResult, std::string_view>& row : kClaimResultNames) {
    aTotals[row.first] += claims.CountOf(row.first);
  }
}

} // namespace

TEST_CASE("no key runs twice over many seeds of crashes, pauses, partitions and outages") {
  Totals totals;
  const char* const single = std::getenv("FENNELLINE_SEED");
  if (single != nullptr) {
    RunSeed(std::strtoull(single, nullptr, 10), totals);
    return;
  }
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunSeed(seed, totals);
  }
  for (const std::pair<ClaimResult, std::string_view>& row : kClaimResultNames) {
    MESSAGE(row.second << ": " << totals[row.first]);
    CHECK(totals[row.first] > kSeeds / 4);
  }
}

TEST_CASE("without faults each key runs once and no claim ends as not run or unknown") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ClaimWorld claims(seed);
    claims.Start(kEntries);
    for (int i = 0; i < 200; ++i) {
      SendRandomRequests(claims);
      claims.RunFor(Milliseconds(30));
    }
    claims.RunFor(Seconds(3));
    claims.CheckAll();
    CHECK(claims.CountOf(ClaimResult::NotRun) == 0);
    CHECK(claims.CountOf(ClaimResult::Unknown) == 0);
  }
}

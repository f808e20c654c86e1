#include "Tests/LibCoordination/Claims/ClaimWorld.h"

using namespace fennelline;

TEST_CASE("a first request is granted, and a retry at any entry gets the same answer") {
  ClaimWorld world(1);
  world.Start(5);
  const std::vector<EntryId> entries = world.World().Entries();
  const std::uint64_t first = world.Send(entries[0], "k", "body");
  world.RunFor(Seconds(1));
  CHECK(world.OutcomeOf(first).m_result == ClaimResult::Granted);
  for (const EntryId& entry : entries) {
    const std::uint64_t again = world.Send(entry, "k", "body");
    world.RunFor(Milliseconds(100));
    CHECK(world.OutcomeOf(again).m_result == ClaimResult::Replay);
  }
  const std::uint64_t other = world.Send(entries[1], "k", "another body");
  world.RunFor(Milliseconds(100));
  CHECK(world.OutcomeOf(other).m_result == ClaimResult::Conflict);
  CHECK(world.RunsOf("k") == 1);
  world.CheckAll();
}

TEST_CASE("a retry waits for the answer of the running attempt") {
  ClaimWorld world(2);
  world.m_runTime = Seconds(2);
  world.Start(5);
  const std::vector<EntryId> entries = world.World().Entries();
  world.Send(entries[0], "k", "body");
  world.RunFor(Milliseconds(200));
  const std::uint64_t second = world.Send(entries[1], "k", "body");
  const std::uint64_t same = world.Send(entries[0], "k", "body");
  const std::uint64_t shortDeadline = world.Send(entries[2], "k", "body", Milliseconds(300));
  world.RunFor(Seconds(3));
  CHECK(world.OutcomeOf(second).m_result == ClaimResult::Replay);
  CHECK(world.OutcomeOf(same).m_result == ClaimResult::Replay);
  CHECK(world.OutcomeOf(shortDeadline).m_result == ClaimResult::Unknown);
  world.CheckAll();
}

TEST_CASE("a request whose owner crashed before the answer is reported as unknown at once") {
  ClaimWorld world(3);
  world.m_runTime = Seconds(2);
  world.Start(6);
  const EntryId owner = world.NonHolderOf("k");
  world.Send(owner, "k", "body");
  world.RunFor(Milliseconds(200));
  world.World().Crash(owner);
  world.RunFor(Seconds(2));
  const std::uint64_t again = world.Send(world.World().Entries()[0], "k", "body");
  world.RunFor(Milliseconds(100));
  CHECK(world.OutcomeOf(again).m_result == ClaimResult::Unknown);
  CHECK(world.RunsOf("k") == 1);
}

TEST_CASE("claims continue during a platform outage with one holder lost") {
  ClaimWorld world(4);
  world.Start(6);
  world.World().SetOutage(true);
  world.World().Crash(world.HoldersOf("k")[0]);
  world.RunFor(Seconds(3));
  const std::vector<EntryId> entries = world.World().Entries();
  const std::uint64_t first = world.Send(entries[0], "k", "body");
  world.RunFor(Milliseconds(500));
  const std::uint64_t again = world.Send(entries[1], "k", "body");
  world.RunFor(Milliseconds(500));
  CHECK(world.OutcomeOf(first).m_result == ClaimResult::Granted);
  CHECK(world.OutcomeOf(again).m_result == ClaimResult::Replay);
  world.CheckAll();
}

TEST_CASE("slots are handed over as holders crash one by one, until all of them are replaced") {
  ClaimWorld world(5);
  world.Start(8);
  const std::vector<EntryId> holders = world.HoldersOf("k");
  const std::uint64_t first = world.Send(world.NonHolderOf("k"), "k", "body");
  world.RunFor(Milliseconds(500));
  CHECK(world.OutcomeOf(first).m_result == ClaimResult::Granted);
  for (const EntryId& holder : holders) {
    world.World().Crash(holder);
    world.RunFor(Seconds(4));
  }
  for (const EntryId& entry : world.World().Entries()) {
    const std::uint64_t again = world.Send(entry, "k", "body");
    world.RunFor(Milliseconds(300));
    CHECK(world.OutcomeOf(again).m_result == ClaimResult::Replay);
  }
  world.CheckAll();
}

TEST_CASE("a leaving holder is replaced") {
  ClaimWorld world(6);
  world.Start(6);
  const EntryId leaving = world.HoldersOf("k")[0];
  world.Send(world.NonHolderOf("k"), "k", "body");
  world.RunFor(Milliseconds(500));
  world.World().SetLeaving(leaving);
  world.RunFor(Seconds(3));
  const std::vector<EntryId> holders = world.HoldersOf("k");
  CHECK(holders.size() == 3);
  CHECK(std::find(holders.begin(), holders.end(), leaving) == holders.end());
}

TEST_CASE("after a loss of all holders, keys are unknown until older claims have expired") {
  ClaimWorld world(7);
  world.Start(7);
  const std::vector<EntryId> holders = world.HoldersOf("k");
  const EntryId nonHolder = world.NonHolderOf("k");
  world.Send(nonHolder, "k", "body");
  world.RunFor(Milliseconds(500));
  // Crash the owner too, so that no entry knows the outcome.
  world.World().Crash(nonHolder);
  for (const EntryId& holder : holders) {
    world.World().Crash(holder);
  }
  world.RunFor(Seconds(6));
  const EntryId entry = world.World().Entries()[0];
  const std::uint64_t old = world.Send(entry, "k", "body");
  world.RunFor(Seconds(1));
  CHECK(world.OutcomeOf(old).m_result == ClaimResult::Unknown);
  world.RunFor(world.m_settings.m_retryWindow * 2 + world.m_settings.m_viewValidity);
  const std::uint64_t later = world.Send(entry, "k", "body");
  world.RunFor(Seconds(1));
  CHECK(world.OutcomeOf(later).m_result == ClaimResult::Granted);
}

TEST_CASE("an attempt cannot be sent after a pause longer than the lifetime of its slots") {
  ClaimWorld world(8);
  world.m_sendDelay = Milliseconds(10);
  world.Start(5);
  const EntryId owner = world.NonHolderOf("k");
  world.Send(owner, "k", "body", Seconds(60));
  world.RunFor(Milliseconds(5));
  world.World().Pause(owner, world.m_settings.m_retryWindow * 2);
  world.RunFor(world.m_settings.m_retryWindow + Seconds(5));
  const std::uint64_t again = world.Send(world.World().Entries()[0], "k", "body");
  world.RunFor(Seconds(1));
  CHECK(world.OutcomeOf(again).m_result == ClaimResult::Granted);
  world.RunFor(world.m_settings.m_retryWindow);
  CHECK(world.RunsOf("k") == 1);
}

TEST_CASE("a claim that collects votes until the slots have expired is not granted") {
  ClaimWorld world(11);
  world.Start(6);
  const std::vector<EntryId> holders = world.HoldersOf("k");
  const EntryId nonHolder = world.NonHolderOf("k");
  const std::uint64_t first = world.Send(holders[0], "k", "body");
  world.RunFor(world.m_settings.m_retryWindow - Seconds(1));
  CHECK(world.OutcomeOf(first).m_result == ClaimResult::Granted);
  // The second entry cannot reach any holder until the slots have expired.
  world.World().Faults().m_loss = 1.0;
  const std::uint64_t second = world.Send(nonHolder, "k", "body", Seconds(30));
  world.RunFor(Seconds(6));
  world.World().Faults().m_loss = 0.0;
  world.RunFor(Seconds(6));
  CHECK(world.OutcomeOf(second).m_result == ClaimResult::NotRun);
  CHECK(world.RunsOf("k") == 1);
}

TEST_CASE("an abandoned attempt is never sent and releases the key") {
  ClaimWorld world(9);
  world.m_sendDelay = Seconds(1);
  world.Start(5);
  const std::vector<EntryId> entries = world.World().Entries();
  const std::uint64_t first = world.Send(entries[0], "k", "body");
  world.RunFor(Milliseconds(200));
  const ClaimOutcomeReport granted = world.OutcomeOf(first);
  ClaimTable& table = world.World().Of(entries[0]);
  world.World().Apply(entries[0],
                      table.Abandon(granted.m_identity, granted.m_attempt, world.World().Now()));
  CHECK_FALSE(table.MaySend(granted.m_identity, granted.m_attempt, world.World().Now()));
  world.RunFor(Milliseconds(200));
  const std::uint64_t second = world.Send(entries[1], "k", "body");
  world.RunFor(Seconds(3));
  CHECK(world.OutcomeOf(second).m_result == ClaimResult::Granted);
  CHECK(world.RunsOf("k") == 1);
}

TEST_CASE("partitioned holders stop voting before the other side grants old keys again") {
  ClaimWorld world(10);
  world.Start(7);
  const std::vector<EntryId> holders = world.HoldersOf("k");
  const EntryId cutOff = world.NonHolderOf("k");
  world.World().Partition({holders[0], holders[1], cutOff});
  // The other side creates a new view, whose lost period ends after this time at the earliest.
  const Duration lost = world.m_settings.m_retryWindow * 11 / 10 + world.m_settings.m_viewValidity;
  world.RunFor(lost);
  const std::uint64_t first = world.Send(cutOff, "k", "body");
  world.RunFor(Seconds(8));
  CHECK(world.OutcomeOf(first).m_result == ClaimResult::NotRun);
  const std::uint64_t second = world.Send(holders[2], "k", "body");
  world.RunFor(Seconds(1));
  CHECK(world.OutcomeOf(second).m_result == ClaimResult::Granted);
  CHECK(world.RunsOf("k") == 1);
}

TEST_CASE("attempts that split the votes of two holders lead to one run") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    ClaimWorld world(seed);
    world.Start(5);
    world.World().SetOutage(true);
    world.World().Crash(world.HoldersOf("k")[0]);
    const std::vector<EntryId> entries = world.World().Entries();
    for (const EntryId& entry : entries) {
      world.Send(entry, "k", "body");
    }
    world.RunFor(Seconds(4));
    world.CheckAll();
    CHECK(world.RunsOf("k") == 1);
    CHECK(world.CountOf(ClaimResult::Replay) == entries.size() - 1);
  }
}

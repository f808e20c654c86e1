#include "Tests/LibCoordination/Claims/ClaimWorld.h"

using namespace fennelline;

TEST_CASE("a first request is granted, and sent again anywhere it gets the same answer") {
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

TEST_CASE("a second sender waits for the running attempt's answer") {
  ClaimWorld world(2);
  world.m_runTime = Seconds(2);
  world.Start(5);
  const std::vector<EntryId> entries = world.World().Entries();
  world.Send(entries[0], "k", "body");
  world.RunFor(Milliseconds(200));
  const std::uint64_t second = world.Send(entries[1], "k", "body");
  const std::uint64_t same = world.Send(entries[0], "k", "body");
  const std::uint64_t shortOne = world.Send(entries[2], "k", "body", Milliseconds(300));
  world.RunFor(Seconds(3));
  CHECK(world.OutcomeOf(second).m_result == ClaimResult::Replay);
  CHECK(world.OutcomeOf(same).m_result == ClaimResult::Replay);
  CHECK(world.OutcomeOf(shortOne).m_result == ClaimResult::Unknown);
  world.CheckAll();
}

TEST_CASE("the answer of an owner that died with it is unknown at once, and final") {
  ClaimWorld world(3);
  world.m_runTime = Seconds(2);
  world.Start(6);
  const EntryId owner = world.OutsiderOf("k");
  world.Send(owner, "k", "body");
  world.RunFor(Milliseconds(200));
  world.World().Crash(owner);
  world.RunFor(Seconds(2));
  const std::uint64_t again = world.Send(world.World().Entries()[0], "k", "body");
  world.RunFor(Milliseconds(100));
  CHECK(world.OutcomeOf(again).m_result == ClaimResult::Unknown);
  CHECK(world.RunsOf("k") == 1);
}

TEST_CASE("claims go on through an outage of the platform with one holder lost") {
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

TEST_CASE("slots pass to new holders, one after the other, until no first holder is left") {
  ClaimWorld world(5);
  world.Start(8);
  const std::vector<EntryId> holders = world.HoldersOf("k");
  const std::uint64_t first = world.Send(world.OutsiderOf("k"), "k", "body");
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

TEST_CASE("a leaving holder hands over before it goes") {
  ClaimWorld world(6);
  world.Start(6);
  const EntryId leaving = world.HoldersOf("k")[0];
  world.Send(world.OutsiderOf("k"), "k", "body");
  world.RunFor(Milliseconds(500));
  world.World().SetLeaving(leaving);
  world.RunFor(Seconds(3));
  const std::vector<EntryId> holders = world.HoldersOf("k");
  CHECK(holders.size() == 3);
  CHECK(std::find(holders.begin(), holders.end(), leaving) == holders.end());
}

TEST_CASE("after two holders are lost together, old keys are unknown until they are too old") {
  ClaimWorld world(7);
  world.Start(7);
  const std::vector<EntryId> holders = world.HoldersOf("k");
  const EntryId outsider = world.OutsiderOf("k");
  world.Send(outsider, "k", "body");
  world.RunFor(Milliseconds(500));
  // The owner goes as well, so that nobody is left who could tell.
  world.World().Crash(outsider);
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

TEST_CASE("an attempt cannot be sent after a pause that outlasts its slots") {
  ClaimWorld world(8);
  world.m_sendDelay = Milliseconds(10);
  world.Start(5);
  const EntryId owner = world.OutsiderOf("k");
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

TEST_CASE("a claim that asks for votes until the slots have expired is not granted") {
  ClaimWorld world(11);
  world.Start(6);
  const std::vector<EntryId> holders = world.HoldersOf("k");
  const EntryId outsider = world.OutsiderOf("k");
  const std::uint64_t first = world.Send(holders[0], "k", "body");
  world.RunFor(world.m_settings.m_retryWindow - Seconds(1));
  CHECK(world.OutcomeOf(first).m_result == ClaimResult::Granted);
  // The second sender cannot reach any holder until their slots have expired.
  world.World().Faults().m_loss = 1.0;
  const std::uint64_t second = world.Send(outsider, "k", "body", Seconds(30));
  world.RunFor(Seconds(6));
  world.World().Faults().m_loss = 0.0;
  world.RunFor(Seconds(6));
  CHECK(world.OutcomeOf(second).m_result == ClaimResult::NotRun);
  CHECK(world.RunsOf("k") == 1);
}

TEST_CASE("an abandoned attempt is never sent and frees the key") {
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

TEST_CASE("holders cut off stop granting before the other side grants old keys again") {
  ClaimWorld world(10);
  world.Start(7);
  const std::vector<EntryId> holders = world.HoldersOf("k");
  const EntryId cutOff = world.OutsiderOf("k");
  world.World().Partition({holders[0], holders[1], cutOff});
  // The other side makes a new view at most this much later, and its lost period ends after it.
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

TEST_CASE("two attempts that split the votes of two holders end with one run") {
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

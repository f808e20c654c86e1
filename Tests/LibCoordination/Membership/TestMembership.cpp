#include "Utilities/MeasureSpread/EntryGroup.h"

#include <doctest/doctest.h>
#include <set>
#include <string>

namespace fennelline {
namespace {

constexpr std::uint64_t kSeeds = 100;
constexpr std::size_t kEntries = 9;
/// A leaving backend server is known everywhere within this time.
constexpr Duration kLeavingLimit = Seconds(3);

GroupSettings LossySettings() {
  GroupSettings settings;
  settings.m_mostDelay = Milliseconds(40);
  settings.m_datagramLoss = 0.1;
  settings.m_doubling = 0.05;
  return settings;
}

std::set<EntryId> MembersOf(EntryGroup& aGroup, int aEntry) {
  std::set<EntryId> names;
  for (const MemberDigest& member : aGroup.MembershipOf(aEntry).Members()) {
    names.insert(member.m_entry);
  }
  return names;
}

std::set<EntryId> UpEntries(const EntryGroup& aGroup) {
  std::set<EntryId> names;
  for (std::size_t i = 0; i < aGroup.Count(); ++i) {
    if (aGroup.IsUp(static_cast<int>(i))) {
      names.insert(aGroup.NameOf(static_cast<int>(i)));
    }
  }
  return names;
}

void CheckAllAgree(EntryGroup& aGroup) {
  const std::set<EntryId> up = UpEntries(aGroup);
  for (std::size_t i = 0; i < aGroup.Count(); ++i) {
    if (aGroup.IsUp(static_cast<int>(i))) {
      CHECK(MembersOf(aGroup, static_cast<int>(i)) == up);
    }
  }
}

/// The number of times any entry, or only aBy, declared a running entry dead.
std::size_t CountFalseDeaths(const EntryGroup& aGroup, int aBy = -1) {
  const std::set<EntryId> up = UpEntries(aGroup);
  std::size_t deaths = 0;
  for (std::size_t i = 0; i < aGroup.Count(); ++i) {
    const bool isCounted = aBy < 0 || aBy == static_cast<int>(i);
    for (const EntryJournal::Changed& changed : aGroup.JournalOf(static_cast<int>(i)).m_changed) {
      const bool isFalse =
        changed.m_member.m_state == MemberState::Dead && up.contains(changed.m_member.m_entry);
      deaths += isCounted && isFalse ? 1 : 0;
    }
  }
  return deaths;
}

TEST_CASE("entries discover each other and detect dead ones under packet loss") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    EntryGroup group(LossySettings(), seed);
    group.StartMany(kEntries);
    group.RunFor(Seconds(15));
    CheckAllAgree(group);
    group.Kill(static_cast<int>(seed % kEntries));
    group.RunFor(Seconds(25));
    CheckAllAgree(group);
    CHECK(CountFalseDeaths(group) == 0);
  }
}

TEST_CASE("a paused entry declares nobody dead and rejoins by itself") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    EntryGroup group(LossySettings(), seed);
    group.StartMany(kEntries);
    group.RunFor(Seconds(15));
    const int paused = static_cast<int>(seed % kEntries);
    group.Pause(paused);
    group.RunFor(Seconds(2 + static_cast<std::int64_t>(seed % 40)));
    group.Resume(paused);
    group.RunFor(Seconds(20));
    CHECK(CountFalseDeaths(group, paused) == 0);
    CheckAllAgree(group);
  }
}

TEST_CASE("a pause during a suspicion does not make it expire") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    EntryGroup group(LossySettings(), seed);
    group.StartMany(kEntries);
    group.RunFor(Seconds(15));
    MembershipDatagram news;
    news.m_kind = DatagramKind::Ack;
    news.m_from = group.NameOf(2);
    news.m_members = {group.MembershipOf(1).Self()};
    news.m_members.front().m_state = MemberState::Suspect;
    group.Inject(0, news);
    group.Pause(0);
    group.RunFor(Seconds(10));
    group.ResumeWithoutUnread(0);
    group.RunFor(Seconds(20));
    CHECK(CountFalseDeaths(group, 0) == 0);
    CheckAllAgree(group);
  }
}

TEST_CASE("an isolated entry declares nobody dead; all members return after the partition heals") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    EntryGroup group(LossySettings(), seed);
    group.StartMany(kEntries);
    group.RunFor(Seconds(15));
    const int lone = static_cast<int>(seed % kEntries);
    group.SetSide(lone, 1);
    group.RunFor(Seconds(40));
    CHECK(CountFalseDeaths(group, lone) == 0);
    CHECK(group.MembershipOf(lone).IsIsolated());
    group.Heal();
    group.RunFor(Seconds(30));
    CheckAllAgree(group);
    CHECK(CountFalseDeaths(group, lone) == 0);
  }
}

TEST_CASE("a data centre isolated for longer than dead members are remembered rejoins") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    GroupSettings settings = LossySettings();
    settings.m_membership.m_deadRetention = Seconds(30);
    EntryGroup group(settings, seed);
    group.StartMany(kEntries);
    group.RunFor(Seconds(15));
    for (const int entry : {0, 3, 6}) {
      group.SetSide(entry, 1);
    }
    group.RunFor(Seconds(60));
    group.Heal();
    group.RunFor(Seconds(40));
    CheckAllAgree(group);
  }
}

TEST_CASE("a restarted process is a new member and its predecessor is declared dead") {
  EntryGroup group(LossySettings(), 3);
  group.StartMany(kEntries);
  group.RunFor(Seconds(15));
  group.Kill(4);
  const int again = group.Start("e4", 1);
  group.RunFor(Seconds(25));
  CheckAllAgree(group);
  CHECK(MembersOf(group, 0).contains(group.NameOf(again)));
}

TEST_CASE("a leaving backend server is known everywhere within 3 s and cleared when it is back") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    GroupSettings settings = LossySettings();
    settings.m_datagramLoss = 0.2;
    EntryGroup group(settings, seed);
    group.StartMany(30);
    group.RunFor(Seconds(15));
    const Time marked = group.Now();
    group.MarkLeaving(static_cast<int>(seed % 30), "engine-1");
    group.RunFor(Seconds(1));
    // A load report older than the mark says that the server is not leaving.
    group.ClearLeaving(1, "engine-1");
    group.RunFor(kLeavingLimit - Seconds(1));
    for (int entry = 0; entry < 30; ++entry) {
      CHECK(group.MembershipOf(entry).IsLeaving("engine-1"));
      REQUIRE(group.JournalOf(entry).m_leaving.size() == 1);
      CHECK(group.JournalOf(entry).m_leaving.front().m_at - marked <= kLeavingLimit);
    }
    group.RunFor(Seconds(10));
    group.ClearLeaving(2, "engine-1");
    group.RunFor(kLeavingLimit);
    for (int entry = 0; entry < 30; ++entry) {
      CHECK_FALSE(group.MembershipOf(entry).IsLeaving("engine-1"));
    }
  }
}

TEST_CASE("a joining entry learns which backend servers are leaving") {
  EntryGroup group(LossySettings(), 5);
  group.StartMany(5);
  group.RunFor(Seconds(10));
  group.MarkLeaving(0, "engine-1");
  group.RunFor(Seconds(60));
  const int late = group.Start("e9", 0);
  group.RunFor(Seconds(5));
  CHECK(group.MembershipOf(late).IsLeaving("engine-1"));
}

TEST_CASE("all members see a leaving entry as leaving, and as dead once its process has ended") {
  EntryGroup group(LossySettings(), 6);
  group.StartMany(kEntries);
  group.RunFor(Seconds(15));
  group.Leave(2);
  group.RunFor(Seconds(3));
  for (int entry = 0; entry < static_cast<int>(kEntries); ++entry) {
    for (const MemberDigest& member : group.MembershipOf(entry).Members()) {
      const bool isLeaving = member.m_entry == group.NameOf(2);
      CHECK((member.m_state == MemberState::Leaving) == isLeaving);
    }
  }
  group.Kill(2);
  group.RunFor(Seconds(25));
  CheckAllAgree(group);
}

TEST_CASE("stale updates do not bring back a forgotten dead member") {
  GroupSettings settings;
  settings.m_membership.m_deadRetention = Seconds(10);
  EntryGroup group(settings, 7);
  group.StartMany(5);
  group.RunFor(Seconds(10));
  const MemberDigest old = group.MembershipOf(4).Self();
  group.Kill(4);
  group.RunFor(Seconds(40));
  MembershipDatagram news;
  news.m_kind = DatagramKind::Ack;
  news.m_from = group.NameOf(1);
  news.m_members = {old};
  group.Inject(0, news);
  MembershipDatagram late;
  late.m_kind = DatagramKind::Ping;
  late.m_from = old.m_entry;
  late.m_fromAddress = old.m_datagramAddress;
  late.m_members = {old};
  group.Inject(0, late);
  for (int part = 0; part < 100; ++part) {
    group.RunFor(Milliseconds(100));
    CHECK_FALSE(MembersOf(group, 0).contains(old.m_entry));
  }
}

} // namespace
} // namespace fennelline

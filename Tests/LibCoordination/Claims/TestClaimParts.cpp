#include "LibCoordination/Claims/ClaimHolder.h"
#include "LibCoordination/Claims/OwnedAttempts.h"
#include "LibCoordination/Claims/SlotStore.h"
#include "LibCoordination/Claims/ViewPlanner.h"
#include "LibCoordination/Claims/ViewRecord.h"

#include <doctest/doctest.h>

using namespace fennelline;

namespace {

const Time kNow = Time(Seconds(1000));
const RequestIdentity kIdentity = {.m_customer = "mopane", .m_key = "run/k"};
const AttemptId kFirst = {.m_entry = "x#1", .m_number = 1};
const AttemptId kSecond = {.m_entry = "y#1", .m_number = 1};

/// A holder of shard 0 with its view directory.
struct HolderFixture {
  explicit HolderFixture(const EntryId& aSelf)
    : m_members(m_settings, aSelf, "dc-1")
    , m_views(m_settings, aSelf, m_members, 1)
    , m_holder(m_settings, aSelf, m_views) {
    Effects effects;
    m_views.Tick(effects, kNow);
    const CallId call = std::get<CallPlatform>(effects.front()).m_call;
    m_views.OnPlatformReply({.m_call = call, .m_status = PlatformStatus::Ok}, effects, kNow);
  }

  void Adopt(const ClaimView& aView) {
    Effects effects;
    m_views.Offer(aView);
    m_holder.Adopt(aView, effects, kNow);
  }

  VoteResult Vote(Revision aView, const AttemptId& aAttempt) {
    const ClaimRequest request{
      .m_view = aView, .m_identity = kIdentity, .m_bodyHash = "b", .m_attempt = aAttempt};
    return m_holder.Vote(request, kNow).m_vote;
  }

  void TakePage(const EntryId& aFrom, Revision aView, const AttemptId& aAttempt) {
    Effects effects;
    const ClaimSlot slot{.m_identity = kIdentity,
                         .m_state = SlotState::Held,
                         .m_bodyHash = "b",
                         .m_attempt = aAttempt,
                         .m_retentionMilliseconds = 60000};
    m_holder.OnHandover(
      aFrom, {.m_shard = 0, .m_view = aView, .m_snapshot = 1, .m_last = true, .m_slots = {slot}},
      effects, kNow);
  }

  ClaimSettings m_settings{.m_shardCount = 1};
  ClaimMembers m_members;
  ViewDirectory m_views;
  ClaimHolder m_holder;
};

ClaimView JoiningView() {
  return {.m_number = 9,
          .m_revision = 9,
          .m_holders = {"a#1", "b#1", "d#1"},
          .m_since = {2, 3, 9},
          .m_joining = "d#1"};
}

} // namespace

TEST_CASE("a joining holder that was handed two attempts for one key votes for neither until one "
          "is released") {
  HolderFixture fixture("d#1");
  fixture.Adopt(JoiningView());
  fixture.TakePage("a#1", 9, kFirst);
  CHECK(fixture.Vote(9, kFirst) == VoteResult::NotServing);
  fixture.TakePage("b#1", 9, kSecond);
  CHECK(fixture.Vote(9, kFirst) == VoteResult::Taken);
  CHECK(fixture.Vote(9, kSecond) == VoteResult::Taken);
  fixture.m_holder.Release({.m_identity = kIdentity, .m_attempt = kFirst});
  CHECK(fixture.Vote(9, kSecond) == VoteResult::Granted);
}

TEST_CASE("a holder that missed views does not serve its old slots") {
  HolderFixture fixture("d#1");
  fixture.Adopt({.m_number = 2, .m_revision = 2, .m_holders = {"d#1"}, .m_since = {2}});
  CHECK(fixture.Vote(2, kFirst) == VoteResult::Granted);
  fixture.Adopt(JoiningView());
  CHECK(fixture.Vote(9, kFirst) == VoteResult::NotServing);
}

TEST_CASE("a holder without the slots that its view expects it to have votes Lost") {
  HolderFixture fixture("a#1");
  fixture.Adopt(JoiningView());
  CHECK(fixture.Vote(9, kFirst) == VoteResult::Lost);
}

TEST_CASE("a query about an expired attempt is answered as unknown, never as free") {
  ClaimSettings settings;
  OwnedAttempts owned(settings, "x#1");
  const AttemptId id = owned.Add(kIdentity, "b", kNow).m_id;
  owned.Expire(kNow + SlotStore::RetentionTime(settings) * 4);
  const AnswerReply reply = owned.Answer({.m_identity = kIdentity, .m_attempt = id});
  CHECK(reply.m_slot.m_state == SlotState::Unknown);
}

TEST_CASE("a view with a joining holder loses slots if one more holder fails") {
  ClaimSettings settings;
  ClaimMembers members(settings, "a#1", "dc-1");
  std::vector<MemberDigest> digests = {
    {.m_entry = "b#1", .m_state = MemberState::Dead, .m_dataCentre = "dc-2"},
    {.m_entry = "d#1", .m_dataCentre = "dc-3"},
    {.m_entry = "e#1", .m_dataCentre = "dc-2"}};
  members.Update(digests, kNow);
  const std::optional<ViewPlan> whole =
    PlanView(JoinedView(JoiningView()), members, settings, kNow);
  REQUIRE(whole.has_value());
  CHECK_FALSE(whole->m_losesSlots);
  CHECK(whole->m_view.m_joining == "e#1");
  const std::optional<ViewPlan> joining = PlanView(JoiningView(), members, settings, kNow);
  REQUIRE(joining.has_value());
  CHECK(joining->m_losesSlots);
  digests[1].m_state = MemberState::Dead;
  members.Update(digests, kNow);
  CHECK(PlanView(JoinedView(JoiningView()), members, settings, kNow)->m_losesSlots);
}

TEST_CASE("a view of three holders keeps one that is gone or leaving until another can join") {
  const ClaimSettings settings;
  ClaimMembers members(settings, "a#1", "dc-0");
  const ClaimView joined = JoinedView(JoiningView());
  std::vector<MemberDigest> digests;
  for (const EntryId& holder : joined.m_holders) {
    digests.push_back({.m_entry = holder, .m_version = 1});
  }
  for (const MemberState state : {MemberState::Dead, MemberState::Leaving}) {
    digests.back().m_state = state;
    members.Update(digests, kNow);
    CHECK_FALSE(PlanView(joined, members, settings, kNow).has_value());
  }
  digests.back().m_state = MemberState::Dead;
  members.Update(digests, kNow);
  CHECK_FALSE(PlanView(JoiningView(), members, settings, kNow).has_value());
  // Both holders of a view that has grown to two have every slot.
  digests[1].m_state = MemberState::Dead;
  members.Update(digests, kNow);
  const ClaimView grown{
    .m_number = 5, .m_revision = 6, .m_holders = {"a#1", "b#1"}, .m_since = {1, 5}};
  const std::optional<ViewPlan> alone = PlanView(grown, members, settings, kNow);
  REQUIRE(alone.has_value());
  CHECK(alone->m_view.m_holders == std::vector<EntryId>{"a#1"});
  CHECK_FALSE(alone->m_losesSlots);
}

TEST_CASE("a serialized view parses to the same view") {
  ClaimView view = JoiningView();
  view.m_number = 0;
  view.m_since = {2, 3, 0};
  const Result<ClaimView> read =
    ParseView({.m_key = "fennelline/claims/0", .m_value = WriteView(view), .m_revision = 9});
  REQUIRE(read);
  CHECK(read.Get() == JoiningView());
  CHECK(ParseView({.m_key = "fennelline/claims/x", .m_value = "{}"}).IsError());
}

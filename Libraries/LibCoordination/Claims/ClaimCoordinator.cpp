#include "LibCoordination/Claims/ClaimCoordinator.h"

#include "LibCoordination/Claims/ClaimKeys.h"
#include "LibCoordination/Claims/SlotStore.h"
#include "LibCoordination/Claims/ViewRecord.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fennelline {

namespace {

/// After this many resend intervals, a claim is decided without the holders that have not answered.
constexpr int kResendsBeforeDeciding = 3;

/// The owner of a followed attempt is queried once per this many resend intervals. This can be
/// rare, because the owner also notifies its waiters when the attempt ends.
constexpr int kResendTimesPerOwnerQuery = 6;

bool Precedes(const AttemptId& aLeft, const AttemptId& aRight) {
  return std::tie(aLeft.m_entry, aLeft.m_number) < std::tie(aRight.m_entry, aRight.m_number);
}

bool IsTaken(VoteResult aVote) {
  return aVote == VoteResult::Taken || aVote == VoteResult::BodyDiffers;
}

bool HasOutcome(const ClaimSlot& aSlot) {
  return aSlot.m_state == SlotState::Answered || aSlot.m_state == SlotState::Unknown;
}

} // namespace

ClaimCoordinator::ClaimCoordinator(const ClaimSettings& aSettings, EntryId aSelf,
                                   ViewDirectory& aViews, ClaimMembers& aMembers,
                                   OwnedAttempts& aOwned)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_views(aViews)
  , m_members(aMembers)
  , m_owned(aOwned) {}

void ClaimCoordinator::Begin(std::uint64_t aTicket, const RequestIdentity& aIdentity,
                             const std::string& aBodyHash, Time aDeadline, ClaimStep& aStep,
                             Time aNow) {
  OpenClaim& claim = m_claims[aTicket];
  claim = {.m_ticket = aTicket,
           .m_identity = aIdentity,
           .m_shard = ShardOf(aIdentity, m_settings.m_shardCount),
           .m_bodyHash = aBodyHash,
           .m_deadline = aDeadline,
           .m_votingEndsAt = aNow + SlotStore::MaxVotingTime(m_settings)};
  m_tickets[aIdentity].push_back(aTicket);
  const OwnedAttempt* const live = m_owned.FindLive(aIdentity, aNow);
  if (live == nullptr) {
    StartVoting(claim, aStep, aNow);
    return;
  }
  const ClaimSlot slot = m_owned.Describe(*live);
  if (HasOutcome(slot)) {
    TakeOutcome(claim, slot, aStep, aNow);
  } else {
    Follow(claim, slot, aStep, aNow);
  }
}

void ClaimCoordinator::Cancel(std::uint64_t aTicket, ClaimStep& aStep, Time aNow) {
  const auto claim = m_claims.find(aTicket);
  if (claim == m_claims.end()) {
    return;
  }
  AbandonOwn(claim->second, aStep, aNow);
  RemoveClaim(claim->second);
}

void ClaimCoordinator::StartVoting(OpenClaim& aClaim, ClaimStep& aStep, Time aNow) {
  aClaim.m_attempt = m_owned.Add(aClaim.m_identity, aClaim.m_bodyHash, aNow).m_id;
  aClaim.m_followed.reset();
  aClaim.m_votingSince = aNow;
  aClaim.m_votes.clear();
  SendVoteRequests(aClaim, aStep, aNow);
}

void ClaimCoordinator::SendVoteRequests(OpenClaim& aClaim, ClaimStep& aStep, Time aNow) {
  aClaim.m_nextSendAt = aNow + m_settings.m_resendAfter;
  const ClaimView* const view = m_views.Find(aClaim.m_shard);
  if (view == nullptr) {
    RequestViewFromPeer(aClaim, aStep, aNow);
    return;
  }
  if (aClaim.m_view != view->m_number) {
    aClaim.m_view = view->m_number;
    aClaim.m_votes.clear();
  }
  for (const EntryId& holder : view->m_holders) {
    const auto vote = aClaim.m_votes.find(holder);
    if (vote != aClaim.m_votes.end() && vote->second.m_vote == VoteResult::Granted) {
      continue;
    }
    aStep.m_effects.push_back(
      SendMessage{.m_to = holder,
                  .m_message = ClaimRequest{.m_shard = aClaim.m_shard,
                                            .m_view = aClaim.m_view,
                                            .m_identity = aClaim.m_identity,
                                            .m_bodyHash = aClaim.m_bodyHash,
                                            .m_attempt = *aClaim.m_attempt}});
  }
}

void ClaimCoordinator::RequestViewFromPeer(OpenClaim& aClaim, ClaimStep& aStep, Time aNow) {
  m_views.RequestRefresh(aNow);
  const std::size_t count = m_members.All().size();
  const std::size_t index = m_peerIndex++ % count;
  const EntryId& peer =
    std::next(m_members.All().begin(), static_cast<std::ptrdiff_t>(index))->first;
  // A request without a view gets no vote, but the receiver replies with the view that it knows.
  aStep.m_effects.push_back(SendMessage{.m_to = peer,
                                        .m_message = ClaimRequest{.m_shard = aClaim.m_shard,
                                                                  .m_identity = aClaim.m_identity,
                                                                  .m_bodyHash = aClaim.m_bodyHash,
                                                                  .m_attempt = *aClaim.m_attempt}});
}

void ClaimCoordinator::QueryOwner(const OpenClaim& aClaim, const AttemptId& aAttempt,
                                  ClaimStep& aStep) const {
  aStep.m_effects.push_back(
    SendMessage{.m_to = aAttempt.m_entry,
                .m_message = AnswerQuery{.m_identity = aClaim.m_identity, .m_attempt = aAttempt}});
}

void ClaimCoordinator::OnReply(const EntryId& aFrom, const ClaimReply& aReply, ClaimStep& aStep,
                               Time aNow) {
  for (const std::uint64_t ticket : TicketsOf(aReply.m_identity)) {
    OpenClaim* const claim = Find(ticket);
    if (claim == nullptr || claim->m_attempt != aReply.m_attempt ||
        claim->m_view != aReply.m_view || aReply.m_vote == VoteResult::OtherView) {
      continue;
    }
    // After a pause, the process may read old replies. They must not grant a claim that is too
    // late.
    if (IsTooLate(*claim, aNow)) {
      FinishAtDeadline(*claim, aStep, aNow);
      continue;
    }
    claim->m_votes[aFrom] = {.m_vote = aReply.m_vote, .m_slot = aReply.m_slot};
    Decide(*claim, aStep, aNow);
  }
}

ClaimCoordinator::Tally ClaimCoordinator::Count(const OpenClaim& aClaim,
                                                const ClaimView& aView) const {
  Tally tally;
  for (const EntryId& holder : aView.m_holders) {
    const auto found = aClaim.m_votes.find(holder);
    if (found == aClaim.m_votes.end() || found->second.m_vote == VoteResult::NotServing) {
      ++tally.m_pending;
      continue;
    }
    const Vote& vote = found->second;
    tally.m_granted += vote.m_vote == VoteResult::Granted ? 1 : 0;
    tally.m_lost += vote.m_vote == VoteResult::Lost ? 1 : 0;
    if (!IsTaken(vote.m_vote)) {
      continue;
    }
    const bool isFirst =
      !tally.m_other || HasOutcome(vote.m_slot) ||
      (!HasOutcome(*tally.m_other) && Precedes(vote.m_slot.m_attempt, tally.m_other->m_attempt));
    if (isFirst) {
      tally.m_other = vote.m_slot;
    }
  }
  return tally;
}

bool ClaimCoordinator::IsTooLate(const OpenClaim& aClaim, Time aNow) {
  const bool isAsking = aClaim.m_attempt.has_value();
  return aNow >= aClaim.m_deadline || (isAsking && aNow >= aClaim.m_votingEndsAt);
}

bool ClaimCoordinator::HasWaitedForAll(const OpenClaim& aClaim, Time aNow) const {
  return aNow - aClaim.m_votingSince >= m_settings.m_resendAfter * kResendsBeforeDeciding;
}

bool ClaimCoordinator::Decide(OpenClaim& aClaim, ClaimStep& aStep, Time aNow) {
  const ClaimView* const view = m_views.Find(aClaim.m_shard);
  if (view == nullptr || view->m_number != aClaim.m_view) {
    return false;
  }
  const Tally tally = Count(aClaim, *view);
  if (tally.m_other && HasOutcome(*tally.m_other)) {
    return TakeOutcome(aClaim, *tally.m_other, aStep, aNow);
  }
  if (tally.m_granted >= QuorumOf(*view)) {
    return Grant(aClaim, aStep);
  }
  if (tally.m_lost > 0) {
    return DecideLost(aClaim, tally, aStep, aNow);
  }
  return tally.m_other && DecideContended(aClaim, tally, QuorumOf(*view), aStep, aNow);
}

bool ClaimCoordinator::DecideLost(OpenClaim& aClaim, const Tally& aTally, ClaimStep& aStep,
                                  Time aNow) {
  // Another holder may still have the answer.
  if (aTally.m_pending > 0 && !HasWaitedForAll(aClaim, aNow)) {
    return false;
  }
  if (aTally.m_other && aTally.m_other->m_attempt.m_entry != m_self) {
    return Follow(aClaim, *aTally.m_other, aStep, aNow);
  }
  AbandonOwn(aClaim, aStep, aNow);
  return FinishAs(aClaim, ClaimResult::Unknown, "claims of this shard were lost", aStep);
}

bool ClaimCoordinator::DecideContended(OpenClaim& aClaim, const Tally& aTally, std::size_t aQuorum,
                                       ClaimStep& aStep, Time aNow) {
  const ClaimSlot other = *aTally.m_other;
  if (other.m_attempt.m_entry == m_self) {
    return DecideOwnAttempt(aClaim, other, aStep, aNow);
  }
  aClaim.m_sawOtherAttempt = true;
  const bool canWin = aTally.m_granted + aTally.m_pending >= aQuorum;
  const bool isOwnerGone = m_members.IsGone(other.m_attempt.m_entry, aNow);
  // If two attempts split the votes, the one with the lower ID (entry, number) continues and the
  // other yields, unless the entry of the first is gone.
  const bool yields = Precedes(other.m_attempt, *aClaim.m_attempt) && !isOwnerGone;
  if (!canWin || yields) {
    return Follow(aClaim, other, aStep, aNow);
  }
  if (!HasWaitedForAll(aClaim, aNow)) {
    return false;
  }
  if (isOwnerGone) {
    AbandonOwn(aClaim, aStep, aNow);
    return FinishAs(aClaim, ClaimResult::Unknown, "the entry that had claimed it is gone", aStep);
  }
  QueryOwner(aClaim, other.m_attempt, aStep);
  return false;
}

bool ClaimCoordinator::DecideOwnAttempt(OpenClaim& aClaim, const ClaimSlot& aOther,
                                        ClaimStep& aStep, Time aNow) {
  const OwnedAttempt* const attempt = m_owned.Find(aClaim.m_identity, aOther.m_attempt);
  if (attempt == nullptr) {
    AbandonOwn(aClaim, aStep, aNow);
    return FinishAs(aClaim, ClaimResult::Unknown, "its attempt is too old", aStep);
  }
  if (attempt->m_state == AttemptState::Abandoned) {
    ReleaseSlots(aClaim.m_identity, aOther.m_attempt, aStep.m_effects);
    return false;
  }
  return Follow(aClaim, aOther, aStep, aNow);
}

bool ClaimCoordinator::Follow(OpenClaim& aClaim, const ClaimSlot& aOther, ClaimStep& aStep,
                              Time aNow) {
  AbandonOwn(aClaim, aStep, aNow);
  aClaim.m_sawOtherAttempt = true;
  if (aOther.m_bodyHash != aClaim.m_bodyHash) {
    return FinishAs(aClaim, ClaimResult::Conflict, "the key came with another body", aStep);
  }
  const bool isOwn = aOther.m_attempt.m_entry == m_self;
  if (!isOwn && m_members.IsGone(aOther.m_attempt.m_entry, aNow)) {
    return FinishAs(aClaim, ClaimResult::Unknown, "the entry that ran it is gone", aStep);
  }
  aClaim.m_followed = aOther.m_attempt;
  aClaim.m_nextSendAt = aNow + m_settings.m_resendAfter * kResendTimesPerOwnerQuery;
  if (!isOwn) {
    QueryOwner(aClaim, aOther.m_attempt, aStep);
  }
  return false;
}

void ClaimCoordinator::OnAnswer(const EntryId& aFrom, const AnswerReply& aReply, ClaimStep& aStep,
                                Time aNow) {
  if (aFrom != aReply.m_attempt.m_entry) {
    return;
  }
  for (const std::uint64_t ticket : TicketsOf(aReply.m_identity)) {
    OpenClaim* const claim = Find(ticket);
    if (claim != nullptr) {
      TakeAnswer(*claim, aReply, aStep, aNow);
    }
  }
}

bool ClaimCoordinator::TakeAnswer(OpenClaim& aClaim, const AnswerReply& aReply, ClaimStep& aStep,
                                  Time aNow) {
  const bool isFollowed = aClaim.m_followed == aReply.m_attempt;
  const bool isCompeting =
    aClaim.m_attempt && std::any_of(aClaim.m_votes.begin(), aClaim.m_votes.end(),
                                    [&](const std::pair<const EntryId, Vote>& aVote) {
                                      return IsTaken(aVote.second.m_vote) &&
                                             aVote.second.m_slot.m_attempt == aReply.m_attempt;
                                    });
  if (!isFollowed && !isCompeting) {
    return false;
  }
  if (HasOutcome(aReply.m_slot)) {
    return TakeOutcome(aClaim, aReply.m_slot, aStep, aNow);
  }
  if (aReply.m_slot.m_state == SlotState::Held) {
    return isCompeting && aReply.m_granted && Follow(aClaim, aReply.m_slot, aStep, aNow);
  }
  // The owner reports that the attempt was abandoned, so any entry may release its slots.
  ReleaseSlots(aClaim.m_identity, aReply.m_attempt, aStep.m_effects);
  if (isFollowed) {
    StartVoting(aClaim, aStep, aNow);
  } else {
    SendVoteRequests(aClaim, aStep, aNow);
  }
  return false;
}

bool ClaimCoordinator::TakeOutcome(OpenClaim& aClaim, const ClaimSlot& aSlot, ClaimStep& aStep,
                                   Time aNow) {
  AbandonOwn(aClaim, aStep, aNow);
  const bool isForgotten = aSlot.m_state == SlotState::Unknown && aSlot.m_bodyHash.empty();
  if (!isForgotten && aSlot.m_bodyHash != aClaim.m_bodyHash) {
    return FinishAs(aClaim, ClaimResult::Conflict, "the key came with another body", aStep);
  }
  if (aSlot.m_state == SlotState::Unknown) {
    return FinishAs(aClaim, ClaimResult::Unknown, "the answer is lost", aStep);
  }
  return Finish(
    aClaim,
    {.m_result = ClaimResult::Replay, .m_attempt = aSlot.m_attempt, .m_answer = aSlot.m_answer},
    aStep);
}

void ClaimCoordinator::AnnounceEnd(OwnedAttempt& aAttempt, ClaimStep& aStep, Time aNow) {
  const AnswerReply reply =
    m_owned.Answer({.m_identity = aAttempt.m_identity, .m_attempt = aAttempt.m_id});
  for (const EntryId& waiter : std::exchange(aAttempt.m_waiters, {})) {
    aStep.m_effects.push_back(SendMessage{.m_to = waiter, .m_message = reply});
  }
  OnAnswer(m_self, reply, aStep, aNow);
}

void ClaimCoordinator::AbandonOwn(OpenClaim& aClaim, ClaimStep& aStep, Time aNow) {
  if (!aClaim.m_attempt) {
    return;
  }
  const AttemptId id = *std::exchange(aClaim.m_attempt, std::nullopt);
  OwnedAttempt* const attempt = m_owned.Find(aClaim.m_identity, id);
  if (attempt == nullptr || attempt->m_state != AttemptState::Pending) {
    return;
  }
  // Mark the attempt as abandoned first. From here on, no vote can cause it to be sent.
  m_owned.End(*attempt, AttemptState::Abandoned, aNow);
  ReleaseSlots(aClaim.m_identity, id, aStep.m_effects);
  AnnounceEnd(*attempt, aStep, aNow);
}

void ClaimCoordinator::ReleaseSlots(const RequestIdentity& aIdentity, const AttemptId& aAttempt,
                                    Effects& aEffects) const {
  const std::uint32_t shard = ShardOf(aIdentity, m_settings.m_shardCount);
  const ClaimView* const view = m_views.Find(shard);
  if (view == nullptr) {
    return;
  }
  for (const EntryId& holder : view->m_holders) {
    aEffects.push_back(SendMessage{
      .m_to = holder,
      .m_message = ClaimRelease{.m_shard = shard, .m_identity = aIdentity, .m_attempt = aAttempt}});
  }
}

void ClaimCoordinator::OnView(const ClaimView& aView, ClaimStep& aStep, Time aNow) {
  for (std::pair<const std::uint64_t, OpenClaim>& claim : m_claims) {
    const bool isStale =
      claim.second.m_shard == aView.m_shard && claim.second.m_view != aView.m_number;
    if (isStale && claim.second.m_attempt) {
      claim.second.m_votingSince = aNow;
      SendVoteRequests(claim.second, aStep, aNow);
    }
  }
}

void ClaimCoordinator::Tick(ClaimStep& aStep, Time aNow) {
  std::vector<std::uint64_t> tickets;
  tickets.reserve(m_claims.size());
  for (const std::pair<const std::uint64_t, OpenClaim>& claim : m_claims) {
    tickets.push_back(claim.first);
  }
  for (const std::uint64_t ticket : tickets) {
    OpenClaim* const claim = Find(ticket);
    if (claim != nullptr) {
      TickClaim(*claim, aStep, aNow);
    }
  }
}

bool ClaimCoordinator::TickClaim(OpenClaim& aClaim, ClaimStep& aStep, Time aNow) {
  if (IsTooLate(aClaim, aNow)) {
    return FinishAtDeadline(aClaim, aStep, aNow);
  }
  if (aNow < aClaim.m_nextSendAt) {
    return false;
  }
  if (aClaim.m_attempt) {
    return Decide(aClaim, aStep, aNow) || (SendVoteRequests(aClaim, aStep, aNow), false);
  }
  aClaim.m_nextSendAt = aNow + m_settings.m_resendAfter * kResendTimesPerOwnerQuery;
  const EntryId& owner = aClaim.m_followed->m_entry;
  if (owner == m_self) {
    return false;
  }
  if (m_members.IsGone(owner, aNow)) {
    return FinishAs(aClaim, ClaimResult::Unknown, "the entry that ran it is gone", aStep);
  }
  QueryOwner(aClaim, *aClaim.m_followed, aStep);
  return false;
}

bool ClaimCoordinator::FinishAtDeadline(OpenClaim& aClaim, ClaimStep& aStep, Time aNow) {
  AbandonOwn(aClaim, aStep, aNow);
  if (aClaim.m_sawOtherAttempt) {
    return FinishAs(aClaim, ClaimResult::Unknown, "the answer did not come in time", aStep);
  }
  return FinishAs(aClaim, ClaimResult::NotRun, "its claim was not decided in time", aStep);
}

bool ClaimCoordinator::Grant(OpenClaim& aClaim, ClaimStep& aStep) {
  const AttemptId id = *aClaim.m_attempt;
  OwnedAttempt* const attempt = m_owned.Find(aClaim.m_identity, id);
  if (attempt == nullptr || attempt->m_state != AttemptState::Pending) {
    return FinishAs(aClaim, ClaimResult::Unknown, "its attempt is too old", aStep);
  }
  attempt->m_state = AttemptState::Granted;
  return Finish(aClaim, {.m_result = ClaimResult::Granted, .m_attempt = id}, aStep);
}

bool ClaimCoordinator::FinishAs(OpenClaim& aClaim, ClaimResult aResult, const std::string& aReason,
                                ClaimStep& aStep) {
  ClaimOutcomeReport report{.m_result = aResult, .m_reason = aReason};
  if (aResult == ClaimResult::NotRun) {
    report.m_retryAfter = m_settings.m_retryAfter;
  }
  return Finish(aClaim, std::move(report), aStep);
}

bool ClaimCoordinator::Finish(OpenClaim& aClaim, ClaimOutcomeReport aReport, ClaimStep& aStep) {
  aReport.m_ticket = aClaim.m_ticket;
  aReport.m_identity = aClaim.m_identity;
  aStep.m_effects.push_back(RecordTimeline{
    .m_record = {.m_name = "claim." + std::string(NameOf(kClaimResultNames, aReport.m_result)),
                 .m_request = aClaim.m_identity.m_key,
                 .m_fields = {{"customer", aClaim.m_identity.m_customer},
                              {"entry", aReport.m_attempt.m_entry},
                              {"attempt", std::to_string(aReport.m_attempt.m_number)},
                              {"reason", aReport.m_reason}}}});
  RemoveClaim(aClaim);
  aStep.m_outcomes.push_back(std::move(aReport));
  return true;
}

void ClaimCoordinator::RemoveClaim(const OpenClaim& aClaim) {
  const std::uint64_t ticket = aClaim.m_ticket;
  const auto tickets = m_tickets.find(aClaim.m_identity);
  if (tickets != m_tickets.end()) {
    std::erase(tickets->second, ticket);
    if (tickets->second.empty()) {
      m_tickets.erase(tickets);
    }
  }
  m_claims.erase(ticket);
}

std::vector<std::uint64_t> ClaimCoordinator::TicketsOf(const RequestIdentity& aIdentity) const {
  const auto tickets = m_tickets.find(aIdentity);
  return tickets == m_tickets.end() ? std::vector<std::uint64_t>() : tickets->second;
}

ClaimCoordinator::OpenClaim* ClaimCoordinator::Find(std::uint64_t aTicket) {
  const auto claim = m_claims.find(aTicket);
  return claim == m_claims.end() ? nullptr : &claim->second;
}

} // namespace fennelline

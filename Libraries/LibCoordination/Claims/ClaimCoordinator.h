#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/ClaimMessages.h"
#include "LibCoordination/Claims/ClaimMembers.h"
#include "LibCoordination/Claims/ClaimOutcomeReport.h"
#include "LibCoordination/Claims/ClaimSettings.h"
#include "LibCoordination/Claims/OwnedAttempts.h"
#include "LibCoordination/Claims/ViewDirectory.h"
#include "LibCoordination/Step.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// Runs the open claims of this entry. Each claim either collects votes of the holders, or waits
/// for the answer of another attempt that has the slot.
class ClaimCoordinator {
public:
  using ClaimStep = Step<ClaimOutcomeReport>;

  ClaimCoordinator(const ClaimSettings& aSettings, EntryId aSelf, ViewDirectory& aViews,
                   ClaimMembers& aMembers, OwnedAttempts& aOwned);

  void Begin(std::uint64_t aTicket, const RequestIdentity& aIdentity, const std::string& aBodyHash,
             Time aDeadline, ClaimStep& aStep, Time aNow);
  void Cancel(std::uint64_t aTicket, ClaimStep& aStep, Time aNow);

  void OnReply(const EntryId& aFrom, const ClaimReply& aReply, ClaimStep& aStep, Time aNow);
  void OnAnswer(const EntryId& aFrom, const AnswerReply& aReply, ClaimStep& aStep, Time aNow);
  /// Notifies everyone who waits for an attempt of this entry, here and on other entries, that it
  /// has ended.
  void AnnounceEnd(OwnedAttempt& aAttempt, ClaimStep& aStep, Time aNow);
  /// Handles a change of a shard's view: votes given in the old view no longer count.
  void OnView(const ClaimView& aView, ClaimStep& aStep, Time aNow);
  void Tick(ClaimStep& aStep, Time aNow);

  /// Frees the slots of an abandoned attempt.
  void ReleaseSlots(const RequestIdentity& aIdentity, const AttemptId& aAttempt,
                    Effects& aEffects) const;

  std::size_t Open() const { return m_claims.size(); }

private:
  struct Vote {
    VoteResult m_vote = VoteResult::NotServing;
    ClaimSlot m_slot;
  };
  struct OpenClaim {
    std::uint64_t m_ticket = 0;
    RequestIdentity m_identity;
    std::uint32_t m_shard = 0;
    std::string m_bodyHash;
    Time m_deadline;
    /// Votes no longer count after this time, because the slots of an earlier sending of the
    /// request may have expired.
    Time m_votingEndsAt;
    /// The attempt of this entry that collects votes; none while another attempt is followed.
    std::optional<AttemptId> m_attempt;
    Time m_votingSince;
    /// The number of the view that the votes belong to.
    Revision m_view = 0;
    std::map<EntryId, Vote> m_votes;
    /// The attempt whose answer this claim waits for.
    std::optional<AttemptId> m_followed;
    Time m_nextSendAt;
    /// Another attempt was seen to have the slot, so the request may have run.
    bool m_sawOtherAttempt = false;
  };
  /// The count of a claim's votes.
  struct Tally {
    std::size_t m_granted = 0;
    std::size_t m_lost = 0;
    std::size_t m_pending = 0;
    /// Another attempt that has the slot at some holder. Of several, one with an outcome, otherwise
    /// the first in order.
    std::optional<ClaimSlot> m_other;
  };

  // Functions that return bool return true if the claim has ended and was removed.
  void StartVoting(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  void SendVoteRequests(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  void RequestViewFromPeer(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  void QueryOwner(const OpenClaim& aClaim, const AttemptId& aAttempt, ClaimStep& aStep) const;
  Tally Count(const OpenClaim& aClaim, const ClaimView& aView) const;
  bool Decide(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  bool DecideLost(OpenClaim& aClaim, const Tally& aTally, ClaimStep& aStep, Time aNow);
  bool DecideContended(OpenClaim& aClaim, const Tally& aTally, std::size_t aQuorum,
                       ClaimStep& aStep, Time aNow);
  bool DecideOwnAttempt(OpenClaim& aClaim, const ClaimSlot& aOther, ClaimStep& aStep, Time aNow);
  bool Follow(OpenClaim& aClaim, const ClaimSlot& aOther, ClaimStep& aStep, Time aNow);
  bool TakeOutcome(OpenClaim& aClaim, const ClaimSlot& aSlot, ClaimStep& aStep, Time aNow);
  bool TakeAnswer(OpenClaim& aClaim, const AnswerReply& aReply, ClaimStep& aStep, Time aNow);
  bool TickClaim(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  bool FinishAtDeadline(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  void AbandonOwn(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  bool Grant(OpenClaim& aClaim, ClaimStep& aStep);
  bool Finish(OpenClaim& aClaim, ClaimOutcomeReport aReport, ClaimStep& aStep);
  bool FinishAs(OpenClaim& aClaim, ClaimResult aResult, const std::string& aReason,
                ClaimStep& aStep);
  void RemoveClaim(const OpenClaim& aClaim);
  static bool IsTooLate(const OpenClaim& aClaim, Time aNow);
  bool HasWaitedForAll(const OpenClaim& aClaim, Time aNow) const;
  std::vector<std::uint64_t> TicketsOf(const RequestIdentity& aIdentity) const;
  OpenClaim* Find(std::uint64_t aTicket);

  const ClaimSettings& m_settings;
  EntryId m_self;
  ViewDirectory& m_views;
  ClaimMembers& m_members;
  OwnedAttempts& m_owned;
  std::uint64_t m_peerIndex = 0;
  std::map<std::uint64_t, OpenClaim> m_claims;
  std::unordered_map<RequestIdentity, std::vector<std::uint64_t>, RequestIdentityHash> m_tickets;
};

} // namespace fennelline

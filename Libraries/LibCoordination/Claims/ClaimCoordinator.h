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

/// The claims that this entry has open: each asks the holders for votes, or waits for the answer of
/// another attempt that has the slot.
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
  /// Tells all who wait for an own attempt, here and elsewhere, that it has ended.
  void AnnounceEnd(OwnedAttempt& aAttempt, ClaimStep& aStep, Time aNow);
  /// A shard's view changed: votes of the old one no longer count.
  void OnView(const ClaimView& aView, ClaimStep& aStep, Time aNow);
  void Tick(ClaimStep& aStep, Time aNow);

  /// Frees the slots of an abandoned attempt.
  void ReleaseSlots(const RequestIdentity& aIdentity, const AttemptId& aAttempt,
                    Effects& aEffects) const;

  std::size_t Open() const { return m_claims.size(); }

private:
  struct Verdict {
    VoteResult m_vote = VoteResult::NotServing;
    ClaimSlot m_slot;
  };
  struct OpenClaim {
    std::uint64_t m_ticket = 0;
    RequestIdentity m_identity;
    std::uint32_t m_shard = 0;
    std::string m_bodyHash;
    Time m_deadline;
    /// No vote counts from then on: the slots of an earlier sending may have expired.
    Time m_askUntil;
    /// The own attempt that asks for votes, or none while another attempt is followed.
    std::optional<AttemptId> m_attempt;
    Time m_askedSince;
    /// The number of the view that the verdicts belong to.
    Revision m_view = 0;
    std::map<EntryId, Verdict> m_verdicts;
    /// The attempt whose answer this claim waits for.
    std::optional<AttemptId> m_followed;
    Time m_sendAt;
    /// Another attempt was seen with the slot, so the request may have run.
    bool m_sawOther = false;
  };
  /// What the verdicts of a claim add up to.
  struct Tally {
    std::size_t m_granted = 0;
    std::size_t m_lost = 0;
    std::size_t m_pending = 0;
    /// Another attempt that has the slot somewhere: of several, the first in order.
    std::optional<ClaimSlot> m_other;
  };

  // Functions that return bool return true where the claim has ended and is gone.
  void Ask(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  void SendQuestions(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  void AskPeerForView(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  void Query(const OpenClaim& aClaim, const AttemptId& aAttempt, ClaimStep& aStep) const;
  Tally Count(const OpenClaim& aClaim, const ClaimView& aView) const;
  bool Decide(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  bool DecideLost(OpenClaim& aClaim, const Tally& aTally, ClaimStep& aStep, Time aNow);
  bool DecideContest(OpenClaim& aClaim, const Tally& aTally, std::size_t aQuorum, ClaimStep& aStep,
                     Time aNow);
  bool ContestOwn(OpenClaim& aClaim, const ClaimSlot& aOther, ClaimStep& aStep, Time aNow);
  bool Follow(OpenClaim& aClaim, const ClaimSlot& aOther, ClaimStep& aStep, Time aNow);
  bool TakeOutcome(OpenClaim& aClaim, const ClaimSlot& aSlot, ClaimStep& aStep, Time aNow);
  bool TakeAnswer(OpenClaim& aClaim, const AnswerReply& aReply, ClaimStep& aStep, Time aNow);
  bool TickClaim(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  bool EndAtDeadline(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  void AbandonOwn(OpenClaim& aClaim, ClaimStep& aStep, Time aNow);
  bool Grant(OpenClaim& aClaim, ClaimStep& aStep);
  bool Finish(OpenClaim& aClaim, ClaimOutcomeReport aReport, ClaimStep& aStep);
  bool FinishAs(OpenClaim& aClaim, ClaimResult aResult, const std::string& aReason,
                ClaimStep& aStep);
  void Forget(const OpenClaim& aClaim);
  static bool IsTooLate(const OpenClaim& aClaim, Time aNow);
  bool HasWaitedForAll(const OpenClaim& aClaim, Time aNow) const;
  std::vector<std::uint64_t> TicketsOf(const RequestIdentity& aIdentity) const;
  OpenClaim* Find(std::uint64_t aTicket);

  const ClaimSettings& m_settings;
  EntryId m_self;
  ViewDirectory& m_views;
  ClaimMembers& m_members;
  OwnedAttempts& m_owned;
  std::uint64_t m_peerTurn = 0;
  std::map<std::uint64_t, OpenClaim> m_claims;
  std::unordered_map<RequestIdentity, std::vector<std::uint64_t>, RequestIdentityHash> m_tickets;
};

} // namespace fennelline

#pragma once

#include "LibCoordination/Identity.h"
#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// The set of holders of one shard of the claim table, as stored in the platform's key-value
/// service.
struct ClaimView {
  std::uint32_t m_shard = 0;
  /// The revision of the write that last changed the holders. Votes only count together if they
  /// were given in views with the same number.
  Revision m_number = 0;
  /// The revision of the last write of any kind. Of two copies, the one with the higher revision is
  /// newer.
  Revision m_revision = 0;
  /// Three entries, in different data centres if there are enough of them.
  std::vector<EntryId> m_holders;
  /// For each holder, the number of the view since which it has held all slots without
  /// interruption.
  std::vector<Revision> m_since;
  /// The holder that is still receiving the slots from all others; empty if there is none.
  EntryId m_joining;
  /// The view was created after slots were lost, see ClaimHolder.
  bool m_lost = false;

  friend bool operator==(const ClaimView&, const ClaimView&) = default;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_number, m_revision, m_holders, m_since, m_joining, m_lost);
  }
};

/// A complete answer, stored so that a retry of the same request gets the same answer.
struct StoredAnswer {
  std::int32_t m_status = 0;
  std::string m_contentType;
  std::string m_body;
  std::string m_version;
  std::int64_t m_costMicros = 0;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_status, m_contentType, m_body, m_version, m_costMicros);
  }
};

enum class SlotState : std::uint8_t {
  Free,
  /// Held by an attempt that may have been sent.
  Held,
  /// The attempt ended and its answer is stored.
  Answered,
  /// The attempt may have run, and its answer is lost.
  Unknown,
};

/// What a holder stores for one request identity.
struct ClaimSlot {
  RequestIdentity m_identity;
  SlotState m_state = SlotState::Free;
  std::string m_bodyHash;
  AttemptId m_attempt;
  StoredAnswer m_answer;
  /// The time until the holder may drop the slot, relative to the moment of sending. Each process
  /// measures it with its own clock.
  std::int64_t m_retentionMilliseconds = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_identity, m_state, m_bodyHash, m_attempt, m_answer, m_retentionMilliseconds);
  }
};

/// Asks a holder to vote for an attempt, that is, to assign a free slot to it.
struct ClaimRequest {
  std::uint32_t m_shard = 0;
  Revision m_view = 0;
  RequestIdentity m_identity;
  std::string m_bodyHash;
  AttemptId m_attempt;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_view, m_identity, m_bodyHash, m_attempt);
  }
};

enum class VoteResult : std::uint8_t {
  /// The slot belongs to the attempt.
  Granted,
  /// Another attempt has the slot; m_slot identifies it.
  Taken,
  /// The key was used before with a different body.
  BodyDiffers,
  /// The holder uses another view, whose number is m_view.
  OtherView,
  /// The holder has not received all slots yet, or may not vote at the moment.
  NotServing,
  /// The slot is free, but slots of this shard were lost, so the key may have been claimed before.
  Lost,
};

struct ClaimReply {
  std::uint32_t m_shard = 0;
  Revision m_view = 0;
  RequestIdentity m_identity;
  AttemptId m_attempt;
  VoteResult m_vote = VoteResult::NotServing;
  ClaimSlot m_slot;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_view, m_identity, m_attempt, m_vote, m_slot);
  }
};

/// Frees the slot of an attempt that was abandoned before it was sent and will never be sent.
struct ClaimRelease {
  std::uint32_t m_shard = 0;
  RequestIdentity m_identity;
  AttemptId m_attempt;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_identity, m_attempt);
  }
};

/// Stores an attempt's outcome (answered or unknown) at a holder.
struct ClaimOutcome {
  std::uint32_t m_shard = 0;
  ClaimSlot m_slot;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_slot);
  }
};

/// Confirms that a holder has stored an attempt's outcome.
struct ClaimOutcomeAck {
  std::uint32_t m_shard = 0;
  RequestIdentity m_identity;
  AttemptId m_attempt;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_identity, m_attempt);
  }
};

/// Asks the entry that owns an attempt for its answer, on behalf of a retry of the same request.
struct AnswerQuery {
  RequestIdentity m_identity;
  AttemptId m_attempt;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_identity, m_attempt);
  }
};

/// The slot from the view of the attempt's owner: Held while it runs, then Answered, Unknown or
/// Free.
struct AnswerReply {
  RequestIdentity m_identity;
  AttemptId m_attempt;
  ClaimSlot m_slot;
  /// For Held: the attempt has a quorum of votes, so it may have been sent.
  bool m_granted = false;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_identity, m_attempt, m_slot, m_granted);
  }
};

/// Announces a view. A holder adopts it. If the sender is the view's joining holder, the message
/// also requests the receiver's slots.
struct ViewAnnouncement {
  ClaimView m_view;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_view);
  }
};

/// One page of a holder's slots, sent to the joining holder of a view.
struct SlotHandoverPage {
  std::uint32_t m_shard = 0;
  Revision m_view = 0;
  /// Pages are numbered from zero within a snapshot; pages of different snapshots must not be
  /// mixed.
  std::uint64_t m_snapshot = 0;
  std::uint32_t m_page = 0;
  bool m_last = false;
  std::vector<ClaimSlot> m_slots;
  /// How much longer the sender answers Lost for identities that may have been claimed before slots
  /// were lost.
  std::int64_t m_lostMilliseconds = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_view, m_snapshot, m_page, m_last, m_slots, m_lostMilliseconds);
  }
};

} // namespace fennelline

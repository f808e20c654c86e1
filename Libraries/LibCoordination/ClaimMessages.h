#pragma once

#include "LibCoordination/Identity.h"
#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelline {

/// The holders of one shard of the claim table, as the platform's key-value service records them.
struct ClaimView {
  std::uint32_t m_shard = 0;
  /// The revision of the write that last changed the holders. Votes count within one number.
  Revision m_number = 0;
  /// The revision of the last write of all. Of two copies, the one with the higher revision is
  /// newer.
  Revision m_revision = 0;
  /// Three entries, in different data centres where there are that many.
  std::vector<EntryId> m_holders;
  /// For each holder, the number of the view since which it has held all slots without a gap.
  std::vector<Revision> m_since;
  /// The holder that is still taking over slots from all others; empty when there is none.
  EntryId m_joining;
  /// The view was made after slots were lost: see ClaimHolder.
  bool m_lost = false;

  friend bool operator==(const ClaimView&, const ClaimView&) = default;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_number, m_revision, m_holders, m_since, m_joining, m_lost);
  }
};

/// A whole answer, kept so that the same request sent again gets the same answer.
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
  /// Held by an attempt: it may have been sent.
  Held,
  /// The attempt ended and left its answer.
  Answered,
  /// The attempt may have run and its answer is lost.
  Unknown,
};

/// What a holder keeps for one identity.
struct ClaimSlot {
  RequestIdentity m_identity;
  SlotState m_state = SlotState::Free;
  std::string m_bodyHash;
  AttemptId m_attempt;
  StoredAnswer m_answer;
  /// Milliseconds until the holder may forget the slot, as sent. Each process counts for itself.
  std::int64_t m_retentionMilliseconds = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_identity, m_state, m_bodyHash, m_attempt, m_answer, m_retentionMilliseconds);
  }
};

/// Asks a holder to take a free slot for an attempt.
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
  /// The slot is the attempt's.
  Granted,
  /// Another attempt has the slot; m_slot tells which.
  Taken,
  /// The same key came with another body.
  BodyDiffers,
  /// The holder has adopted another view; m_view tells which.
  OtherView,
  /// The holder has not yet adopted the table's content, or may not vote now.
  NotServing,
  /// The slot is free, but slots of this shard were lost: the key may have been claimed before.
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
    aVisitor(m_shard, m_view, m_identity, m_attempt, m_verdict, m_slot);
  }
};

/// Frees the slot of an attempt that was given up before it was sent, and never will be.
struct ClaimRelease {
  std::uint32_t m_shard = 0;
  RequestIdentity m_identity;
  AttemptId m_attempt;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_identity, m_attempt);
  }
};

/// Leaves an attempt's outcome (answered or unknown) with a holder.
struct ClaimOutcome {
  std::uint32_t m_shard = 0;
  ClaimSlot m_slot;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_slot);
  }
};

struct ClaimOutcomeAck {
  std::uint32_t m_shard = 0;
  RequestIdentity m_identity;
  AttemptId m_attempt;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_identity, m_attempt);
  }
};

/// Asks the entry that owns an attempt for its answer, for a second sender of the same request.
struct AnswerQuery {
  RequestIdentity m_identity;
  AttemptId m_attempt;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_identity, m_attempt);
  }
};

/// The slot as the attempt's owner knows it: Held while it runs, then Answered, Unknown or Free.
struct AnswerReply {
  RequestIdentity m_identity;
  AttemptId m_attempt;
  ClaimSlot m_slot;
  /// For Held: the attempt has its votes, so it may have been sent.
  bool m_granted = false;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_identity, m_attempt, m_slot, m_granted);
  }
};

/// Tells of a view. A holder adopts it; from the joining holder it also asks for the slots.
struct ViewAnnouncement {
  ClaimView m_view;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_view);
  }
};

/// One page of a holder's slots, sent to a new holder after adopting its view.
struct SlotHandoverPage {
  std::uint32_t m_shard = 0;
  Revision m_view = 0;
  /// The pages of one snapshot are numbered from zero; those of two snapshots do not mix.
  std::uint64_t m_snapshot = 0;
  std::uint32_t m_page = 0;
  bool m_last = false;
  std::vector<ClaimSlot> m_slots;
  /// Identities that may be older than a loss of slots are unknown for this long.
  std::int64_t m_lostMilliseconds = 0;

  template<typename Visitor>
  void VisitFields(Visitor& aVisitor) {
    aVisitor(m_shard, m_view, m_snapshot, m_page, m_last, m_slots, m_lostMilliseconds);
  }
};

} // namespace fennelline

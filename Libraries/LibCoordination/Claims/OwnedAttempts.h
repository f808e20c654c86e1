#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/ClaimMessages.h"
#include "LibCoordination/Claims/ClaimSettings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

enum class AttemptState : std::uint8_t {
  /// Collecting votes.
  Pending,
  /// Has a quorum of votes, and was not sent.
  Granted,
  /// May have been sent.
  Sent,
  Answered,
  Unknown,
  /// Abandoned before it was sent; this is final.
  Abandoned,
};

/// An attempt that belongs to this entry. No other entry ever sends it.
struct OwnedAttempt {
  AttemptId m_id;
  RequestIdentity m_identity;
  std::string m_bodyHash;
  AttemptState m_state = AttemptState::Pending;
  StoredAnswer m_answer;
  Time m_startedAt;
  Time m_endedAt = kNever;
  /// Entries that queried the answer and are notified when the attempt ends.
  std::vector<EntryId> m_waiters;

  bool HasEnded() const { return m_state >= AttemptState::Answered; }
};

/// The attempts of this entry and their outcomes. They are kept longer than any holder keeps their
/// slots, so that the owner can always answer a query about an attempt that still has a slot.
class OwnedAttempts {
public:
  OwnedAttempts(const ClaimSettings& aSettings, EntryId aSelf);

  OwnedAttempt& Add(const RequestIdentity& aIdentity, const std::string& aBodyHash, Time aNow);
  /// Null for attempts of other entries and for expired ones.
  OwnedAttempt* Find(const RequestIdentity& aIdentity, const AttemptId& aAttempt);
  /// The newest attempt for the identity, if it was not abandoned and its answer still applies to
  /// retries of the request; otherwise null.
  OwnedAttempt* FindLive(const RequestIdentity& aIdentity, Time aNow);

  void End(OwnedAttempt& aAttempt, AttemptState aState, Time aNow);

  /// Whether the attempt is granted, has not ended, and its slots cannot have expired.
  bool MaySend(const OwnedAttempt& aAttempt, Time aNow) const;

  /// The attempt as reported to holders and to other claims of the same key.
  ClaimSlot Describe(const OwnedAttempt& aAttempt) const;
  /// The reply to a query about an attempt. Attempts that have expired are reported as Unknown.
  AnswerReply Answer(const AnswerQuery& aQuery);

  void Expire(Time aNow);
  std::size_t Size() const { return m_attempts.size(); }

private:
  const ClaimSettings& m_settings;
  EntryId m_self;
  std::uint64_t m_number = 0;
  std::map<std::uint64_t, OwnedAttempt> m_attempts;
  std::unordered_map<RequestIdentity, std::uint64_t, RequestIdentityHash> m_newest;
};

} // namespace fennelline

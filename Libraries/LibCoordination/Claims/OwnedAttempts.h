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
  /// Asking for votes.
  Pending,
  /// Has its votes and was not sent.
  Granted,
  /// May have been sent.
  Sent,
  Answered,
  Unknown,
  /// Given up before it was sent, for good.
  Abandoned,
};

/// An attempt of this entry. No other entry ever sends it.
struct OwnedAttempt {
  AttemptId m_id;
  RequestIdentity m_identity;
  std::string m_bodyHash;
  AttemptState m_state = AttemptState::Pending;
  StoredAnswer m_answer;
  Time m_began;
  Time m_ended = kNever;
  /// Entries that asked for the answer and are told when it is there.
  std::vector<EntryId> m_waiters;

  bool HasEnded() const { return m_state >= AttemptState::Answered; }
};

/// The attempts of this entry and what became of them, kept longer than any holder keeps their
/// slots, so that a question about one of them always finds the truth.
class OwnedAttempts {
public:
  OwnedAttempts(const ClaimSettings& aSettings, EntryId aSelf);

  OwnedAttempt& Add(const RequestIdentity& aIdentity, const std::string& aBodyHash, Time aNow);
  /// Null for attempts of others and for forgotten ones.
  OwnedAttempt* Find(const RequestIdentity& aIdentity, const AttemptId& aAttempt);
  /// The newest attempt for the identity that was not abandoned and whose answer is still due to
  /// senders of the same request; null where there is none.
  OwnedAttempt* FindLive(const RequestIdentity& aIdentity, Time aNow);

  void End(OwnedAttempt& aAttempt, AttemptState aState, Time aNow);

  /// Whether it may be sent: it is granted, has not ended, and its slots cannot have expired.
  bool MaySend(const OwnedAttempt& aAttempt, Time aNow) const;

  /// The attempt as holders and second senders see it.
  ClaimSlot Describe(const OwnedAttempt& aAttempt) const;
  /// The answer to a question about an attempt, also about a forgotten one.
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

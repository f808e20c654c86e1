#include "LibCoordination/Claims/OwnedAttempts.h"

#include "LibCoordination/Claims/SlotStore.h"

#include <utility>

namespace fennelline {

namespace {

/// Attempts are kept this many times as long as a holder keeps a slot, because the slot's retention
/// may start again when the outcome is stored.
constexpr int kRetentionFactor = 3;

SlotState SlotStateOf(AttemptState aState) {
  switch (aState) {
    case AttemptState::Pending:
    case AttemptState::Granted:
    case AttemptState::Sent:
      return SlotState::Held;
    case AttemptState::Answered:
      return SlotState::Answered;
    case AttemptState::Unknown:
      return SlotState::Unknown;
    case AttemptState::Abandoned:
      return SlotState::Free;
  }
  return SlotState::Unknown;
}

} // namespace

OwnedAttempts::OwnedAttempts(const ClaimSettings& aSettings, EntryId aSelf)
  : m_settings(aSettings)
  , m_self(std::move(aSelf)) {}

OwnedAttempt& OwnedAttempts::Add(const RequestIdentity& aIdentity, const std::string& aBodyHash,
                                 Time aNow) {
  const std::uint64_t number = ++m_number;
  m_newest[aIdentity] = number;
  OwnedAttempt& attempt = m_attempts[number];
  attempt.m_id = {.m_entry = m_self, .m_number = number};
  attempt.m_identity = aIdentity;
  attempt.m_bodyHash = aBodyHash;
  attempt.m_startedAt = aNow;
  return attempt;
}

OwnedAttempt* OwnedAttempts::Find(const RequestIdentity& aIdentity, const AttemptId& aAttempt) {
  const auto found = m_attempts.find(aAttempt.m_number);
  const bool isOwn = aAttempt.m_entry == m_self && found != m_attempts.end();
  return isOwn && found->second.m_identity == aIdentity ? &found->second : nullptr;
}

OwnedAttempt* OwnedAttempts::FindLive(const RequestIdentity& aIdentity, Time aNow) {
  const auto newest = m_newest.find(aIdentity);
  if (newest == m_newest.end()) {
    return nullptr;
  }
  const auto found = m_attempts.find(newest->second);
  if (found == m_attempts.end() || found->second.m_state == AttemptState::Abandoned) {
    return nullptr;
  }
  OwnedAttempt& attempt = found->second;
  const bool isExpired =
    attempt.HasEnded() && aNow - attempt.m_endedAt >= SlotStore::RetentionTime(m_settings);
  return isExpired ? nullptr : &attempt;
}

void OwnedAttempts::End(OwnedAttempt& aAttempt, AttemptState aState, Time aNow) {
  aAttempt.m_state = aState;
  aAttempt.m_endedAt = aNow;
}

bool OwnedAttempts::MaySend(const OwnedAttempt& aAttempt, Time aNow) const {
  const bool isGranted =
    aAttempt.m_state == AttemptState::Granted || aAttempt.m_state == AttemptState::Sent;
  return isGranted && aNow - aAttempt.m_startedAt < m_settings.m_retryWindow;
}

ClaimSlot OwnedAttempts::Describe(const OwnedAttempt& aAttempt) const {
  return {.m_identity = aAttempt.m_identity,
          .m_state = SlotStateOf(aAttempt.m_state),
          .m_bodyHash = aAttempt.m_bodyHash,
          .m_attempt = aAttempt.m_id,
          .m_answer = aAttempt.m_answer,
          .m_retentionMilliseconds = InMilliseconds(SlotStore::RetentionTime(m_settings))};
}

AnswerReply OwnedAttempts::Answer(const AnswerQuery& aQuery) {
  AnswerReply reply{.m_identity = aQuery.m_identity, .m_attempt = aQuery.m_attempt};
  const OwnedAttempt* const attempt = Find(aQuery.m_identity, aQuery.m_attempt);
  if (attempt == nullptr) {
    reply.m_slot = {.m_identity = aQuery.m_identity,
                    .m_state = SlotState::Unknown,
                    .m_attempt = aQuery.m_attempt};
    return reply;
  }
  reply.m_slot = Describe(*attempt);
  reply.m_granted =
    attempt->m_state == AttemptState::Granted || attempt->m_state == AttemptState::Sent;
  return reply;
}

void OwnedAttempts::Expire(Time aNow) {
  const Duration retention = SlotStore::RetentionTime(m_settings) * kRetentionFactor;
  while (!m_attempts.empty() && aNow - m_attempts.begin()->second.m_startedAt >= retention) {
    const OwnedAttempt& oldest = m_attempts.begin()->second;
    const auto newest = m_newest.find(oldest.m_identity);
    if (newest != m_newest.end() && newest->second == oldest.m_id.m_number) {
      m_newest.erase(newest);
    }
    m_attempts.erase(m_attempts.begin());
  }
}

} // namespace fennelline

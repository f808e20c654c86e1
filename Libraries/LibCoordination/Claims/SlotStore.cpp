#include "LibCoordination/Claims/SlotStore.h"

#include <algorithm>

namespace fennelline {

namespace {

/// A claim may collect votes for at most the retry window divided by this.
constexpr int kVotingTimeDivisor = 10;

bool IsOutcome(SlotState aState) {
  return aState == SlotState::Answered || aState == SlotState::Unknown;
}

} // namespace

Duration SlotStore::MaxVotingTime(const ClaimSettings& aSettings) {
  return aSettings.m_retryWindow / kVotingTimeDivisor;
}

Duration SlotStore::RetentionTime(const ClaimSettings& aSettings) {
  return aSettings.m_retryWindow + MaxVotingTime(aSettings);
}

HeldSlot* SlotStore::Find(const RequestIdentity& aIdentity) {
  const auto slot = m_slots.find(aIdentity);
  return slot == m_slots.end() ? nullptr : &slot->second;
}

void SlotStore::ExtendRetention(const RequestIdentity& aIdentity, HeldSlot& aSlot, Time aUntil) {
  const bool isQueued = aSlot.m_expiresAt != Time{};
  aSlot.m_expiresAt = std::max(aSlot.m_expiresAt, aUntil);
  if (!isQueued) {
    m_expiries.emplace_back(aSlot.m_expiresAt, aIdentity);
  }
}

void SlotStore::Hold(const RequestIdentity& aIdentity, const std::string& aBodyHash,
                     const AttemptId& aAttempt, Time aNow) {
  HeldSlot& slot = m_slots[aIdentity];
  slot.m_state = SlotState::Held;
  slot.m_bodyHash = aBodyHash;
  slot.m_attempts = {aAttempt};
  ExtendRetention(aIdentity, slot, aNow + RetentionTime(*m_settings));
}

void SlotStore::Release(const RequestIdentity& aIdentity, const AttemptId& aAttempt) {
  HeldSlot* const slot = Find(aIdentity);
  if (slot == nullptr || slot->m_state != SlotState::Held) {
    return;
  }
  std::erase(slot->m_attempts, aAttempt);
  if (slot->m_attempts.empty()) {
    m_slots.erase(aIdentity);
  }
}

void SlotStore::StoreOutcome(const ClaimSlot& aSlot, Time aNow) {
  HeldSlot& slot = m_slots[aSlot.m_identity];
  if (slot.m_state == SlotState::Answered) {
    return;
  }
  slot.m_state = aSlot.m_state;
  slot.m_bodyHash = aSlot.m_bodyHash;
  slot.m_attempts = {aSlot.m_attempt};
  slot.m_answer = aSlot.m_answer;
  ExtendRetention(aSlot.m_identity, slot, aNow + Milliseconds(aSlot.m_retentionMilliseconds));
}

void SlotStore::Merge(const ClaimSlot& aSlot, Time aNow) {
  if (IsOutcome(aSlot.m_state)) {
    StoreOutcome(aSlot, aNow);
    return;
  }
  HeldSlot& slot = m_slots[aSlot.m_identity];
  if (IsOutcome(slot.m_state)) {
    return;
  }
  const bool isKnown = std::find(slot.m_attempts.begin(), slot.m_attempts.end(), aSlot.m_attempt) !=
                       slot.m_attempts.end();
  if (!isKnown) {
    slot.m_attempts.push_back(aSlot.m_attempt);
    slot.m_bodyHash = aSlot.m_bodyHash;
  }
  ExtendRetention(aSlot.m_identity, slot, aNow + Milliseconds(aSlot.m_retentionMilliseconds));
}

ClaimSlot SlotStore::Describe(const RequestIdentity& aIdentity, const HeldSlot& aSlot,
                              std::size_t aAttempt, Time aNow) {
  const Duration left = std::max(aSlot.m_expiresAt - aNow, Milliseconds(1));
  return {.m_identity = aIdentity,
          .m_state = aSlot.m_state,
          .m_bodyHash = aSlot.m_bodyHash,
          .m_attempt = aSlot.m_attempts.at(aAttempt),
          .m_answer = aSlot.m_answer,
          .m_retentionMilliseconds = InMilliseconds(left) + 1};
}

std::vector<std::vector<ClaimSlot>> SlotStore::Pages(Time aNow) const {
  std::vector<std::vector<ClaimSlot>> pages(1);
  std::size_t bytes = 0;
  for (const std::pair<const RequestIdentity, HeldSlot>& slot : m_slots) {
    for (std::size_t i = 0; i < slot.second.m_attempts.size(); ++i) {
      if (pages.back().size() >= m_settings->m_slotsPerPage ||
          bytes >= m_settings->m_bytesPerPage) {
        pages.emplace_back();
        bytes = 0;
      }
      pages.back().push_back(Describe(slot.first, slot.second, i, aNow));
      bytes += slot.second.m_answer.m_body.size();
    }
  }
  return pages;
}

void SlotStore::Expire(Time aNow) {
  while (!m_expiries.empty() && m_expiries.front().first <= aNow) {
    const RequestIdentity identity = std::move(m_expiries.front().second);
    m_expiries.pop_front();
    const auto slot = m_slots.find(identity);
    if (slot == m_slots.end()) {
      continue;
    }
    if (slot->second.m_expiresAt <= aNow) {
      m_slots.erase(slot);
    } else {
      m_expiries.emplace_back(slot->second.m_expiresAt, identity);
    }
  }
}

} // namespace fennelline

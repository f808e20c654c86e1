#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/ClaimMessages.h"
#include "LibCoordination/Claims/ClaimSettings.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelline {

/// A slot as stored by a holder.
struct HeldSlot {
  SlotState m_state = SlotState::Held;
  std::string m_bodyHash;
  /// While Held, the attempts that may have this holder's vote. There is more than one only if a
  /// joining holder received different attempts; then none of them gets its vote until the others
  /// are released.
  std::vector<AttemptId> m_attempts;
  StoredAnswer m_answer;
  Time m_expiresAt;
};

/// The slots of one shard at one holder. A slot is kept until its retry window has passed, because
/// the key could be claimed again once the slot is gone.
class SlotStore {
public:
  explicit SlotStore(const ClaimSettings& aSettings)
    : m_settings(&aSettings) {}

  /// How long a claim may collect votes, counted from the arrival of its request.
  static Duration MaxVotingTime(const ClaimSettings& aSettings);
  /// How long a slot is kept: the retry window plus the maximum voting time. A retry that arrives
  /// at the end of the window thus still finds the slot.
  static Duration RetentionTime(const ClaimSettings& aSettings);

  HeldSlot* Find(const RequestIdentity& aIdentity);
  std::size_t Size() const { return m_slots.size(); }
  bool IsFull() const { return m_slots.size() >= m_settings->m_maxSlotsPerShard; }

  /// Assigns a free slot to an attempt.
  void Hold(const RequestIdentity& aIdentity, const std::string& aBodyHash,
            const AttemptId& aAttempt, Time aNow);
  /// Removes an attempt from a held slot; a slot without attempts is free again.
  void Release(const RequestIdentity& aIdentity, const AttemptId& aAttempt);
  /// Stores the outcome of an attempt.
  void StoreOutcome(const ClaimSlot& aSlot, Time aNow);
  /// Merges a slot received from another holder. Outcomes take precedence over votes; the attempts
  /// of several votes are all kept.
  void Merge(const ClaimSlot& aSlot, Time aNow);

  /// Converts a slot for a message. The message names one attempt, given by its index.
  static ClaimSlot Describe(const RequestIdentity& aIdentity, const HeldSlot& aSlot,
                            std::size_t aAttempt, Time aNow);

  /// All slots, in pages limited by number and bytes; at least one page.
  std::vector<std::vector<ClaimSlot>> Pages(Time aNow) const;

  void Expire(Time aNow);

private:
  void ExtendRetention(const RequestIdentity& aIdentity, HeldSlot& aSlot, Time aUntil);

  const ClaimSettings* m_settings;
  std::unordered_map<RequestIdentity, HeldSlot, RequestIdentityHash> m_slots;
  /// Approximately ordered by time. If a slot's retention was extended, its item is queued again.
  std::deque<std::pair<Time, RequestIdentity>> m_expiries;
};

} // namespace fennelline

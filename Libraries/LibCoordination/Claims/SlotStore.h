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

/// A slot as a holder keeps it.
struct HeldSlot {
  SlotState m_state = SlotState::Held;
  std::string m_bodyHash;
  /// While Held, the attempts that may have this holder's vote. More than one only where a new
  /// holder was handed different ones; then none of them gets a vote until the others are released.
  std::vector<AttemptId> m_attempts;
  StoredAnswer m_answer;
  Time m_forgetAt;
};

/// The slots of one shard at one holder. They leave when their retry window has passed, and never
/// earlier, since a forgotten slot could be claimed again.
class SlotStore {
public:
  explicit SlotStore(const ClaimSettings& aSettings)
    : m_settings(&aSettings) {}

  /// The longest time that a claim asks for votes, from its request's arrival on.
  static Duration AskTime(const ClaimSettings& aSettings);
  /// How long a slot is kept: the retry window and the longest time that a claim asks for votes. So
  /// a request that is sent again at the end of the window still finds the slot.
  static Duration KeepTime(const ClaimSettings& aSettings);

  HeldSlot* Find(const RequestIdentity& aIdentity);
  std::size_t Size() const { return m_slots.size(); }
  bool IsFull() const { return m_slots.size() >= m_settings->m_maxSlotsPerShard; }

  /// Gives the free slot to an attempt.
  void Hold(const RequestIdentity& aIdentity, const std::string& aBodyHash,
            const AttemptId& aAttempt, Time aNow);
  /// Takes an attempt out of a held slot; a slot without attempts is free again.
  void Release(const RequestIdentity& aIdentity, const AttemptId& aAttempt);
  /// Stores how an attempt ended.
  void Settle(const ClaimSlot& aSlot, Time aNow);
  /// Adds what another holder has. Outcomes go before votes, and votes add up.
  void Merge(const ClaimSlot& aSlot, Time aNow);

  /// The slot as it goes into messages. A held slot yields one for each attempt.
  static ClaimSlot Describe(const RequestIdentity& aIdentity, const HeldSlot& aSlot,
                            std::size_t aAttempt, Time aNow);

  /// All slots in pages bounded by number and bytes; at least one page.
  std::vector<std::vector<ClaimSlot>> Pages(Time aNow) const;

  void Expire(Time aNow);

private:
  void Keep(const RequestIdentity& aIdentity, HeldSlot& aSlot, Time aUntil);

  const ClaimSettings* m_settings;
  std::unordered_map<RequestIdentity, HeldSlot, RequestIdentityHash> m_slots;
  /// Roughly in the order of time; an early entry for a slot that is kept longer is put back.
  std::deque<std::pair<Time, RequestIdentity>> m_expiries;
};

} // namespace fennelline

#include "LibCoordination/Claims/ClaimTable.h"

#include <map>

namespace fennelline {

// FIXME: This decides within one process only, until the holders and views are in place.
struct ClaimTable::Parts {
  ClaimSettings m_settings;
  EntryId m_self;
  std::uint64_t m_attempts = 0;
  std::map<RequestIdentity, ClaimSlot> m_slots;
};

ClaimTable::ClaimTable(ClaimSettings aSettings, EntryId aSelf, DataCentre, std::uint64_t)
  : m_parts(std::make_unique<Parts>()) {
  m_parts->m_settings = aSettings;
  m_parts->m_self = std::move(aSelf);
}
ClaimTable::~ClaimTable() = default;
ClaimTable::ClaimTable(ClaimTable&&) noexcept = default;
ClaimTable& ClaimTable::operator=(ClaimTable&&) noexcept = default;

ClaimTable::ClaimStep ClaimTable::Begin(std::uint64_t aTicket, const RequestIdentity& aIdentity,
                                        const std::string& aBodyHash, Time, Time) {
  ClaimOutcomeReport report{.m_ticket = aTicket, .m_identity = aIdentity};
  ClaimSlot& slot = m_parts->m_slots[aIdentity];
  if (slot.m_state == SlotState::Free) {
    slot.m_state = SlotState::Held;
    slot.m_bodyHash = aBodyHash;
    slot.m_attempt = {m_parts->m_self, ++m_parts->m_attempts};
    report.m_result = ClaimResult::Granted;
  } else if (slot.m_bodyHash != aBodyHash) {
    report.m_result = ClaimResult::Conflict;
  } else if (slot.m_state == SlotState::Answered) {
    report.m_result = ClaimResult::Replay;
    report.m_answer = slot.m_answer;
  } else {
    report.m_result = ClaimResult::Unknown;
  }
  report.m_attempt = slot.m_attempt;
  return {.m_effects = {}, .m_outcomes = {report}};
}

ClaimTable::ClaimStep ClaimTable::Cancel(std::uint64_t, Time) {
  return {};
}

bool ClaimTable::MaySend(const RequestIdentity& aIdentity, const AttemptId& aAttempt, Time) {
  const auto slot = m_parts->m_slots.find(aIdentity);
  return slot != m_parts->m_slots.end() && slot->second.m_attempt == aAttempt &&
         slot->second.m_state == SlotState::Held;
}

void ClaimTable::MarkNotSent(const RequestIdentity&, const AttemptId&) {}

ClaimTable::ClaimStep ClaimTable::Complete(const RequestIdentity& aIdentity, const AttemptId&,
                                           const StoredAnswer& aAnswer, Time) {
  m_parts->m_slots[aIdentity].m_state = SlotState::Answered;
  m_parts->m_slots[aIdentity].m_answer = aAnswer;
  return {};
}

ClaimTable::ClaimStep ClaimTable::MarkUnknown(const RequestIdentity& aIdentity, const AttemptId&,
                                              Time) {
  m_parts->m_slots[aIdentity].m_state = SlotState::Unknown;
  return {};
}

ClaimTable::ClaimStep ClaimTable::Abandon(const RequestIdentity& aIdentity, const AttemptId&,
                                          Time) {
  m_parts->m_slots.erase(aIdentity);
  return {};
}

ClaimTable::ClaimStep ClaimTable::OnMessage(const EntryId&, const Message&, Time) {
  return {};
}

ClaimTable::ClaimStep ClaimTable::OnPlatformReply(const PlatformReply&, Time) {
  return {};
}

ClaimTable::ClaimStep ClaimTable::OnMembers(std::span<const MemberDigest>, Time) {
  return {};
}

ClaimTable::ClaimStep ClaimTable::Tick(Time) {
  return {};
}

ClaimTable::Counts ClaimTable::Count() const {
  return {.m_slots = m_parts->m_slots.size()};
}

} // namespace fennelline

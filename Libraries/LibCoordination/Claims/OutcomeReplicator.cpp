#include "LibCoordination/Claims/OutcomeReplicator.h"

#include "LibCoordination/Claims/ClaimKeys.h"

#include <algorithm>

namespace fennelline {

namespace {

constexpr Duration kMaxInterval = Seconds(2);

} // namespace

OutcomeReplicator::OutcomeReplicator(const ClaimSettings& aSettings, const ViewDirectory& aViews)
  : m_settings(aSettings)
  , m_views(aViews) {}

void OutcomeReplicator::Start(const ClaimSlot& aSlot, Effects& aEffects, Time aNow) {
  Pending& pending = m_pending[aSlot.m_attempt.m_number];
  pending = {.m_slot = aSlot,
             .m_nextSendAt = aNow,
             .m_stopAt = aNow + m_settings.m_outcomePersistence,
             .m_interval = m_settings.m_resendAfter};
  Send(pending, aEffects, aNow);
}

void OutcomeReplicator::OnAck(const EntryId& aFrom, const ClaimOutcomeAck& aAck) {
  const auto pending = m_pending.find(aAck.m_attempt.m_number);
  if (pending != m_pending.end() && pending->second.m_slot.m_attempt == aAck.m_attempt) {
    pending->second.m_acknowledged.insert(aFrom);
  }
}

bool OutcomeReplicator::Send(Pending& aPending, Effects& aEffects, Time aNow) {
  const std::uint32_t shard = ShardOf(aPending.m_slot.m_identity, m_settings.m_shardCount);
  const ClaimView* const view = m_views.Find(shard);
  aPending.m_nextSendAt = aNow + aPending.m_interval;
  aPending.m_interval = std::min(aPending.m_interval * 2, kMaxInterval);
  if (view == nullptr) {
    return false;
  }
  bool isReplicated = true;
  for (const EntryId& holder : view->m_holders) {
    if (!aPending.m_acknowledged.contains(holder)) {
      isReplicated = false;
      aEffects.push_back(SendMessage{
        .m_to = holder, .m_message = ClaimOutcome{.m_shard = shard, .m_slot = aPending.m_slot}});
    }
  }
  return isReplicated;
}

void OutcomeReplicator::Tick(Effects& aEffects, Time aNow) {
  for (auto pending = m_pending.begin(); pending != m_pending.end();) {
    const bool isDue = aNow >= pending->second.m_nextSendAt;
    const bool isReplicated = isDue && Send(pending->second, aEffects, aNow);
    if (isReplicated || aNow >= pending->second.m_stopAt) {
      pending = m_pending.erase(pending);
    } else {
      ++pending;
    }
  }
}

} // namespace fennelline

#include "LibCoordination/Claims/OutcomeReplicator.h"

#include "LibCoordination/Claims/ClaimKeys.h"

#include <algorithm>

namespace fennelline {

namespace {

constexpr Duration kMostInterval = Seconds(2);

} // namespace

OutcomeReplicator::OutcomeReplicator(const ClaimSettings& aSettings, const ViewDirectory& aViews)
  : m_settings(aSettings)
  , m_views(aViews) {}

void OutcomeReplicator::Start(const ClaimSlot& aSlot, Effects& aEffects, Time aNow) {
  Pending& pending = m_pending[aSlot.m_attempt.m_number];
  pending = {.m_slot = aSlot,
             .m_offerAt = aNow,
             .m_endAt = aNow + m_settings.m_outcomePersistence,
             .m_interval = m_settings.m_resendAfter};
  Offer(pending, aEffects, aNow);
}

void OutcomeReplicator::OnStored(const EntryId& aFrom, const ClaimOutcomeAck& aStored) {
  const auto pending = m_pending.find(aStored.m_attempt.m_number);
  if (pending != m_pending.end() && pending->second.m_slot.m_attempt == aStored.m_attempt) {
    pending->second.m_stored.insert(aFrom);
  }
}

bool OutcomeReplicator::Offer(Pending& aPending, Effects& aEffects, Time aNow) {
  const std::uint32_t shard = ShardOf(aPending.m_slot.m_identity, m_settings.m_shardCount);
  const ClaimView* const view = m_views.Find(shard);
  aPending.m_offerAt = aNow + aPending.m_interval;
  aPending.m_interval = std::min(aPending.m_interval * 2, kMostInterval);
  if (view == nullptr) {
    return false;
  }
  bool isStored = true;
  for (const EntryId& holder : view->m_holders) {
    if (!aPending.m_stored.contains(holder)) {
      isStored = false;
      aEffects.push_back(SendMessage{
        .m_to = holder, .m_message = ClaimOutcome{.m_shard = shard, .m_slot = aPending.m_slot}});
    }
  }
  return isStored;
}

void OutcomeReplicator::Tick(Effects& aEffects, Time aNow) {
  for (auto pending = m_pending.begin(); pending != m_pending.end();) {
    const bool isDue = aNow >= pending->second.m_offerAt;
    const bool isStored = isDue && Offer(pending->second, aEffects, aNow);
    if (isStored || aNow >= pending->second.m_endAt) {
      pending = m_pending.erase(pending);
    } else {
      ++pending;
    }
  }
}

} // namespace fennelline

#include "LibCoordination/Claims/ClaimHolder.h"

#include "LibCoordination/Claims/ViewRecord.h"

#include <algorithm>
#include <utility>

namespace fennelline {

ClaimHolder::ClaimHolder(const ClaimSettings& aSettings, EntryId aSelf, ViewDirectory& aViews)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_views(aViews) {}

Duration ClaimHolder::LostPeriod(const ClaimSettings& aSettings) {
  return SlotStore::RetentionTime(aSettings) + aSettings.m_viewValidity;
}

void ClaimHolder::Adopt(const ClaimView& aView, Effects& aEffects, Time aNow) {
  if (!IsHolder(aView, m_self)) {
    m_shards.erase(aView.m_shard);
    return;
  }
  Shard& shard = m_shards.try_emplace(aView.m_shard, m_settings).first->second;
  const Revision since = HolderSince(aView, m_self);
  const bool isComplete = shard.m_isServing && shard.m_since == since;
  const bool isNew = aView.m_number != shard.m_view;
  shard.m_view = aView.m_number;
  if (isComplete) {
    shard.m_nextRequestAt = aView.m_joining.empty() ? kNever : aNow + m_settings.m_handoverTimeout;
    return;
  }
  if (IsJoining(aView)) {
    if (isNew) {
      StartJoining(shard, aView, aEffects, aNow);
    }
    return;
  }
  // The first view of a shard has its creator as the only holder, so no slots can be missing.
  const bool isFirst = aView.m_number == since && aView.m_holders.size() == 1 && !aView.m_lost;
  shard.m_since = since;
  shard.m_isServing = true;
  shard.m_lostUntil = isFirst ? Time{} : aNow + LostPeriod(m_settings);
  shard.m_nextRequestAt = kNever;
}

void ClaimHolder::StartJoining(Shard& aShard, const ClaimView& aView, Effects& aEffects,
                               Time aNow) {
  aShard.m_slots = SlotStore(m_settings);
  aShard.m_since = 0;
  aShard.m_isServing = false;
  aShard.m_lostUntil = Time{};
  aShard.m_received.clear();
  RequestSlots(aShard, aView, aEffects, aNow);
}

void ClaimHolder::RequestSlots(Shard& aShard, const ClaimView& aView, Effects& aEffects,
                               Time aNow) {
  aShard.m_nextRequestAt = aNow + m_settings.m_handoverTimeout;
  for (const EntryId& holder : aView.m_holders) {
    const auto received = aShard.m_received.find(holder);
    const bool hasAllPages = received != aShard.m_received.end() && received->second.HasAllPages();
    if (holder != m_self && !hasAllPages) {
      aEffects.push_back(
        SendMessage{.m_to = holder, .m_message = ViewAnnouncement{.m_view = aView}});
    }
  }
}

void ClaimHolder::HandOver(const EntryId& aTo, const ClaimView& aView, Effects& aEffects,
                           Time aNow) {
  const ClaimView* const known = m_views.Find(aView.m_shard);
  const auto found = m_shards.find(aView.m_shard);
  if (known == nullptr || found == m_shards.end() || known->m_joining != aTo ||
      known->m_number != aView.m_number || !found->second.m_isServing) {
    return;
  }
  const Shard& shard = found->second;
  const Duration lostLeft = std::max(shard.m_lostUntil - aNow, Duration(0));
  std::vector<std::vector<ClaimSlot>> pages = shard.m_slots.Pages(aNow);
  const std::uint64_t snapshot = ++m_snapshots;
  for (std::uint32_t page = 0; page < pages.size(); ++page) {
    aEffects.push_back(SendMessage{
      .m_to = aTo,
      .m_message = SlotHandoverPage{.m_shard = aView.m_shard,
                                    .m_view = aView.m_number,
                                    .m_snapshot = snapshot,
                                    .m_page = page,
                                    .m_last = page + 1 == pages.size(),
                                    .m_slots = std::move(pages[page]),
                                    .m_lostMilliseconds = InMilliseconds(lostLeft) + 1}});
  }
}

void ClaimHolder::OnHandover(const EntryId& aFrom, const SlotHandoverPage& aPage, Effects& aEffects,
                             Time aNow) {
  const ClaimView* const view = m_views.Find(aPage.m_shard);
  const auto found = m_shards.find(aPage.m_shard);
  if (view == nullptr || found == m_shards.end() || found->second.m_isServing ||
      view->m_number != aPage.m_view || !IsJoining(*view) || !IsHolder(*view, aFrom)) {
    return;
  }
  Shard& shard = found->second;
  ReceivedSnapshot& received = shard.m_received[aFrom];
  if (aPage.m_snapshot < received.m_snapshot || received.HasAllPages()) {
    return;
  }
  if (aPage.m_snapshot > received.m_snapshot) {
    received = {.m_snapshot = aPage.m_snapshot};
  }
  received.m_pages[aPage.m_page] = aPage.m_slots;
  received.m_lostMilliseconds = aPage.m_lostMilliseconds;
  if (aPage.m_last) {
    received.m_pageCount = aPage.m_page + 1;
  }
  FinishJoining(shard, *view, aEffects, aNow);
}

void ClaimHolder::FinishJoining(Shard& aShard, const ClaimView& aView, Effects& aEffects,
                                Time aNow) {
  for (const EntryId& holder : aView.m_holders) {
    if (holder != m_self && !aShard.m_received[holder].HasAllPages()) {
      return;
    }
  }
  for (const std::pair<const EntryId, ReceivedSnapshot>& received : aShard.m_received) {
    for (const std::pair<const std::uint32_t, std::vector<ClaimSlot>>& page :
         received.second.m_pages) {
      for (const ClaimSlot& slot : page.second) {
        aShard.m_slots.Merge(slot, aNow);
      }
    }
    const Time lostUntil = aNow + Milliseconds(received.second.m_lostMilliseconds);
    aShard.m_lostUntil = std::max(aShard.m_lostUntil, lostUntil);
  }
  aShard.m_received.clear();
  aShard.m_since = HolderSince(aView, m_self);
  aShard.m_isServing = true;
  aShard.m_nextRequestAt = kNever;
  m_views.ReportJoined(aView.m_shard, aView.m_number);
  RecordJoined(aView, aEffects);
}

void ClaimHolder::RecordJoined(const ClaimView& aView, Effects& aEffects) const {
  aEffects.push_back(
    RecordTimeline{.m_record = {.m_name = "claims.joined",
                                .m_fields = {{"shard", std::to_string(aView.m_shard)},
                                             {"view", std::to_string(aView.m_number)}}}});
}

ClaimReply ClaimHolder::Vote(const ClaimRequest& aRequest, Time aNow) {
  ClaimReply reply{.m_shard = aRequest.m_shard,
                   .m_view = aRequest.m_view,
                   .m_identity = aRequest.m_identity,
                   .m_attempt = aRequest.m_attempt,
                   .m_vote = VoteResult::NotServing};
  const ClaimView* const view = m_views.Find(aRequest.m_shard);
  const auto shard = m_shards.find(aRequest.m_shard);
  if (view == nullptr || view->m_number != aRequest.m_view || !IsHolder(*view, m_self)) {
    reply.m_vote = VoteResult::OtherView;
    reply.m_view = view == nullptr ? 0 : view->m_number;
    return reply;
  }
  if (shard == m_shards.end() || !shard->second.m_isServing || !m_views.AreViewsCurrent(aNow)) {
    return reply;
  }
  return VoteInShard(shard->second, aRequest, std::move(reply), aNow);
}

ClaimReply ClaimHolder::VoteInShard(Shard& aShard, const ClaimRequest& aRequest, ClaimReply aReply,
                                    Time aNow) {
  const bool isLost = aNow < aShard.m_lostUntil;
  const HeldSlot* const slot = aShard.m_slots.Find(aRequest.m_identity);
  if (slot == nullptr) {
    if (isLost) {
      aReply.m_vote = VoteResult::Lost;
    } else if (!aShard.m_slots.IsFull()) {
      aShard.m_slots.Hold(aRequest.m_identity, aRequest.m_bodyHash, aRequest.m_attempt, aNow);
      aReply.m_vote = VoteResult::Granted;
    }
    return aReply;
  }
  const bool isOwn = slot->m_state == SlotState::Held && slot->m_attempts.size() == 1 &&
                     slot->m_attempts.front() == aRequest.m_attempt;
  if (isOwn) {
    aReply.m_vote = isLost ? VoteResult::Lost : VoteResult::Granted;
    return aReply;
  }
  // If several attempts have the slot, report one other than the requesting attempt.
  const std::size_t other =
    slot->m_attempts.size() > 1 && slot->m_attempts.front() == aRequest.m_attempt ? 1 : 0;
  aReply.m_slot = SlotStore::Describe(aRequest.m_identity, *slot, other, aNow);
  const bool isSameBody = slot->m_bodyHash == aRequest.m_bodyHash;
  aReply.m_vote = isSameBody ? VoteResult::Taken : VoteResult::BodyDiffers;
  return aReply;
}

void ClaimHolder::Release(const ClaimRelease& aRelease) {
  const auto shard = m_shards.find(aRelease.m_shard);
  if (shard != m_shards.end()) {
    shard->second.m_slots.Release(aRelease.m_identity, aRelease.m_attempt);
  }
}

std::optional<ClaimOutcomeAck> ClaimHolder::Store(const ClaimOutcome& aOutcome, Time aNow) {
  const auto shard = m_shards.find(aOutcome.m_shard);
  if (shard == m_shards.end() || !shard->second.m_isServing) {
    return std::nullopt;
  }
  shard->second.m_slots.StoreOutcome(aOutcome.m_slot, aNow);
  return ClaimOutcomeAck{.m_shard = aOutcome.m_shard,
                         .m_identity = aOutcome.m_slot.m_identity,
                         .m_attempt = aOutcome.m_slot.m_attempt};
}

/// Sends the view to the joining holder again, in case the first announcement was lost.
void ClaimHolder::RenotifyJoining(Shard& aShard, const ClaimView& aView, Effects& aEffects,
                                  Time aNow) {
  if (aView.m_joining.empty()) {
    aShard.m_nextRequestAt = kNever;
    return;
  }
  aShard.m_nextRequestAt = aNow + m_settings.m_handoverTimeout;
  aEffects.push_back(
    SendMessage{.m_to = aView.m_joining, .m_message = ViewAnnouncement{.m_view = aView}});
}

void ClaimHolder::Tick(Effects& aEffects, Time aNow) {
  for (std::pair<const std::uint32_t, Shard>& shard : m_shards) {
    shard.second.m_slots.Expire(aNow);
    const ClaimView* const view = m_views.Find(shard.first);
    if (view == nullptr || aNow < shard.second.m_nextRequestAt) {
      continue;
    }
    if (IsJoining(*view)) {
      RequestSlots(shard.second, *view, aEffects, aNow);
    } else {
      RenotifyJoining(shard.second, *view, aEffects, aNow);
    }
  }
}

std::size_t ClaimHolder::ShardsServed() const {
  return static_cast<std::size_t>(std::count_if(
    m_shards.begin(), m_shards.end(),
    [](const std::pair<const std::uint32_t, Shard>& aShard) { return aShard.second.m_isServing; }));
}

std::size_t ClaimHolder::Slots() const {
  std::size_t slots = 0;
  for (const std::pair<const std::uint32_t, Shard>& shard : m_shards) {
    slots += shard.second.m_slots.Size();
  }
  return slots;
}

} // namespace fennelline

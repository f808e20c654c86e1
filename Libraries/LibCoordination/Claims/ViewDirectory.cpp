#include "LibCoordination/Claims/ViewDirectory.h"

#include "LibCoordination/Claims/ClaimKeys.h"
#include "LibCoordination/Claims/ViewRecord.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

/// How often the views are checked against the members.
constexpr Duration kCheckInterval = Milliseconds(100);

/// The delay before the next call after the platform could not be reached.
constexpr Duration kBackOff = Seconds(1);

} // namespace

ViewDirectory::ViewDirectory(const ClaimSettings& aSettings, EntryId aSelf, ClaimMembers& aMembers,
                             std::uint64_t aSeed)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_members(aMembers)
  , m_random(aSeed)
  , m_views(aSettings.m_shardCount)
  , m_joinedViews(aSettings.m_shardCount, 0) {}

const ClaimView* ViewDirectory::Find(std::uint32_t aShard) const {
  return aShard < m_views.size() && m_views[aShard] ? &*m_views[aShard] : nullptr;
}

std::size_t ViewDirectory::CountKnown() const {
  return static_cast<std::size_t>(
    std::count_if(m_views.begin(), m_views.end(),
                  [](const std::optional<ClaimView>& aView) { return aView.has_value(); }));
}

std::size_t ViewDirectory::CountHeldBy(const EntryId& aEntry) const {
  return static_cast<std::size_t>(
    std::count_if(m_views.begin(), m_views.end(), [&](const std::optional<ClaimView>& aView) {
      return aView && IsHolder(*aView, aEntry);
    }));
}

bool ViewDirectory::Offer(const ClaimView& aView) {
  if (aView.m_shard >= m_views.size() || aView.m_holders.empty() ||
      aView.m_holders.size() != aView.m_since.size()) {
    return false;
  }
  std::optional<ClaimView>& known = m_views[aView.m_shard];
  if (known && known->m_revision >= aView.m_revision) {
    return false;
  }
  known = aView;
  m_newestRevision = std::max(m_newestRevision, aView.m_revision);
  m_pendingChanges.erase(aView.m_shard);
  return true;
}

bool ViewDirectory::AreViewsCurrent(Time aNow) const {
  return m_hasListed && aNow - m_confirmedAt <= m_settings.m_viewValidity;
}

void ViewDirectory::RequestRefresh(Time aNow) {
  m_nextRefresh =
    std::min(m_nextRefresh, std::max(aNow, m_lastRefresh + m_settings.m_minRefreshInterval));
}

void ViewDirectory::ReportJoined(std::uint32_t aShard, Revision aNumber) {
  m_joinedViews.at(aShard) = aNumber;
}

bool ViewDirectory::IsOwnJoin(std::uint32_t aShard) const {
  const ClaimView* const view = Find(aShard);
  return view != nullptr && view->m_joining == m_self && m_joinedViews[aShard] == view->m_number;
}

std::vector<ClaimView> ViewDirectory::OnPlatformReply(const PlatformReply& aReply,
                                                      Effects& aEffects, Time aNow) {
  std::vector<ClaimView> changed;
  const auto found = m_calls.find(aReply.m_call.m_number);
  if (found == m_calls.end()) {
    return changed;
  }
  const Call call = found->second;
  m_calls.erase(found);
  switch (call.m_kind) {
    case CallKind::List:
      OnListed(aReply, call, changed, aNow);
      break;
    case CallKind::Get:
      OnRead(aReply, call, changed);
      Announce(changed, aEffects);
      break;
    case CallKind::Put:
      OnWritten(aReply, call, aEffects, aNow);
      break;
  }
  return changed;
}

void ViewDirectory::OnListed(const PlatformReply& aReply, const Call& aCall,
                             std::vector<ClaimView>& aChanged, Time aNow) {
  m_isListing = false;
  // A reply that is older than a known write is stale.
  if (aReply.m_status != PlatformStatus::Ok || aReply.m_revision < m_newestRevision) {
    m_nextRefresh = aNow + kBackOff + Duration(m_random.Below(kBackOff.count()));
    return;
  }
  for (const KeyValue& keyValue : aReply.m_keys) {
    Take(keyValue, aChanged);
  }
  m_hasListed = true;
  m_confirmedAt = std::max(m_confirmedAt, aCall.m_sentAt);
  const bool holdsShards = CountHeldBy(m_self) > 0;
  const Duration interval = holdsShards ? m_settings.m_holderRefresh : m_settings.m_memberRefresh;
  // Random jitter of half an interval, so that entries that started together do not call together.
  m_nextRefresh = aNow + interval / 2 + Duration(m_random.Below(interval.count() / 2 + 1));
}

void ViewDirectory::OnRead(const PlatformReply& aReply, const Call& aCall,
                           std::vector<ClaimView>& aChanged) {
  if (aReply.m_status != PlatformStatus::Ok) {
    return;
  }
  for (const KeyValue& keyValue : aReply.m_keys) {
    if (keyValue.m_key == ViewKey(aCall.m_shard)) {
      Take(keyValue, aChanged);
    }
  }
}

/// Sends views that were just written to their holders, so that they need not wait for a refresh.
void ViewDirectory::Announce(const std::vector<ClaimView>& aViews, Effects& aEffects) const {
  for (const ClaimView& view : aViews) {
    for (const EntryId& holder : view.m_holders) {
      if (holder != m_self) {
        aEffects.push_back(
          SendMessage{.m_to = holder, .m_message = ViewAnnouncement{.m_view = view}});
      }
    }
  }
}

void ViewDirectory::OnWritten(const PlatformReply& aReply, const Call& aCall, Effects& aEffects,
                              Time aNow) {
  if (aReply.m_status == PlatformStatus::Unavailable) {
    m_backOffUntil = aNow + kBackOff;
    return;
  }
  // Whether the write succeeded, lost the race or has an unknown result, the key's value decides.
  Send(aEffects, {.m_kind = CallKind::Get, .m_shard = aCall.m_shard, .m_sentAt = aNow},
       GetKey{.m_key = ViewKey(aCall.m_shard)});
}

void ViewDirectory::Take(const KeyValue& aKeyValue, std::vector<ClaimView>& aChanged) {
  Result<ClaimView> view = ParseView(aKeyValue);
  // FIXME: A record that does not parse is silently ignored. It should be reported to operators.
  if (view && Offer(view.Get())) {
    aChanged.push_back(view.Take());
  }
}

void ViewDirectory::Send(Effects& aEffects, Call aCall, PlatformRequest aRequest) {
  const std::uint64_t number = ++m_callNumber;
  m_calls[number] = aCall;
  aEffects.push_back(CallPlatform{.m_call = {.m_component = Component::Claims, .m_number = number},
                                  .m_request = std::move(aRequest)});
}

void ViewDirectory::Tick(Effects& aEffects, Time aNow) {
  ExpireCalls(aEffects, aNow);
  RefreshIfDue(aEffects, aNow);
  if (!m_hasListed || aNow < m_nextCheckAt || m_members.IsLeaving(m_self)) {
    return;
  }
  m_nextCheckAt = aNow + kCheckInterval;
  for (std::uint32_t shard = 0; shard < m_views.size(); ++shard) {
    CheckShard(shard, aEffects, aNow);
  }
}

void ViewDirectory::ExpireCalls(Effects& aEffects, Time aNow) {
  std::vector<Call> expired;
  for (auto call = m_calls.begin(); call != m_calls.end();) {
    if (aNow - call->second.m_sentAt < m_settings.m_callTimeout) {
      ++call;
      continue;
    }
    expired.push_back(call->second);
    call = m_calls.erase(call);
  }
  for (const Call& call : expired) {
    if (call.m_kind == CallKind::List) {
      m_isListing = false;
      RequestRefresh(aNow);
    } else if (call.m_kind == CallKind::Put) {
      Send(aEffects, {.m_kind = CallKind::Get, .m_shard = call.m_shard, .m_sentAt = aNow},
           GetKey{.m_key = ViewKey(call.m_shard)});
    }
  }
}

void ViewDirectory::RefreshIfDue(Effects& aEffects, Time aNow) {
  if (m_isListing || aNow < m_nextRefresh) {
    return;
  }
  m_isListing = true;
  m_lastRefresh = aNow;
  m_nextRefresh = kNever;
  Send(aEffects, {.m_kind = CallKind::List, .m_sentAt = aNow}, ListKeys{.m_prefix = kViewPrefix});
}

bool ViewDirectory::IsBusy(std::uint32_t aShard) const {
  return std::any_of(
    m_calls.begin(), m_calls.end(), [&](const std::pair<const std::uint64_t, Call>& aCall) {
      return aCall.second.m_kind != CallKind::List && aCall.second.m_shard == aShard;
    });
}

std::optional<ViewPlan> ViewDirectory::PlanFor(std::uint32_t aShard, Time aNow) {
  const ClaimView* const view = Find(aShard);
  if (view == nullptr) {
    return ViewPlan{.m_view = InitialView(aShard, m_self)};
  }
  if (IsOwnJoin(aShard)) {
    return ViewPlan{.m_view = JoinedView(*view)};
  }
  return PlanView(*view, m_members, m_settings, aNow);
}

void ViewDirectory::CheckShard(std::uint32_t aShard, Effects& aEffects, Time aNow) {
  const std::optional<ViewPlan> plan = PlanFor(aShard, aNow);
  if (!plan) {
    m_pendingChanges.erase(aShard);
    return;
  }
  PendingChange& pending =
    m_pendingChanges.try_emplace(aShard, PendingChange{aNow, plan->m_losesSlots}).first->second;
  if (pending.m_losesSlots != plan->m_losesSlots) {
    pending = {.m_since = aNow, .m_losesSlots = plan->m_losesSlots};
  }
  const ClaimView* const view = Find(aShard);
  const std::size_t rank = IsOwnJoin(aShard) ? 0 : ChangeRank(aShard, view, m_members, m_self);
  Duration wait = m_settings.m_takeoverDelay * static_cast<std::int64_t>(rank);
  wait += plan->m_losesSlots ? m_settings.m_lossDelay : Duration(0);
  wait += view == nullptr ? m_settings.m_createDelay : Duration(0);
  const bool mayCall = m_calls.size() < m_settings.m_maxConcurrentCalls && aNow >= m_backOffUntil;
  if (aNow - pending.m_since < wait || !mayCall || IsBusy(aShard)) {
    return;
  }
  Send(aEffects, {.m_kind = CallKind::Put, .m_shard = aShard, .m_sentAt = aNow},
       PutKey{.m_key = ViewKey(aShard),
              .m_value = WriteView(plan->m_view),
              .m_expected = plan->m_view.m_revision});
}

} // namespace fennelline

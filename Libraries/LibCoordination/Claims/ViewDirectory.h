#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibCoordination/Claims/ClaimMembers.h"
#include "LibCoordination/Claims/ClaimSettings.h"
#include "LibCoordination/Claims/ViewPlanner.h"
#include "LibCoordination/Effect.h"
#include "LibCoordination/PlatformCall.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelline {

/// Caches the views of all shards, learned from the platform and from peers. When a holder is gone
/// or leaving, it changes the view on the platform by compare-and-swap. The cache is never changed
/// directly: a view is valid because it is stored on the platform, whoever wrote it and whether or
/// not the reply to the write arrived.
class ViewDirectory {
public:
  ViewDirectory(const ClaimSettings& aSettings, EntryId aSelf, ClaimMembers& aMembers,
                std::uint64_t aSeed);

  /// The newest known view; null if there is none yet.
  const ClaimView* Find(std::uint32_t aShard) const;
  std::size_t CountKnown() const;
  std::size_t CountHeldBy(const EntryId& aEntry) const;

  /// Takes a view from any source. Returns true if it is newer than the known one.
  bool Offer(const ClaimView& aView);

  /// Whether the views were read from the platform recently enough for this entry to vote.
  bool AreViewsCurrent(Time aNow) const;

  /// Schedules a read of all views, after a sign that a newer one exists.
  void RequestRefresh(Time aNow);

  /// Requests that the view of this number is written as joined. Called by the joining holder once
  /// it has all slots.
  void ReportJoined(std::uint32_t aShard, Revision aNumber);

  /// Returns the views that changed, so that the holder and the open claims can be updated.
  std::vector<ClaimView> OnPlatformReply(const PlatformReply& aReply, Effects& aEffects, Time aNow);
  void Tick(Effects& aEffects, Time aNow);

private:
  enum class CallKind : std::uint8_t { List, Get, Put };
  struct Call {
    CallKind m_kind = CallKind::List;
    std::uint32_t m_shard = 0;
    Time m_sentAt;
  };
  /// A view change that is written once it has been pending long enough.
  struct PendingChange {
    Time m_since;
    bool m_losesSlots = false;
  };

  void Send(Effects& aEffects, Call aCall, PlatformRequest aRequest);
  void RefreshIfDue(Effects& aEffects, Time aNow);
  void ExpireCalls(Effects& aEffects, Time aNow);
  void CheckShard(std::uint32_t aShard, Effects& aEffects, Time aNow);
  std::optional<ViewPlan> PlanFor(std::uint32_t aShard, Time aNow);
  void OnListed(const PlatformReply& aReply, const Call& aCall, std::vector<ClaimView>& aChanged,
                Time aNow);
  void OnRead(const PlatformReply& aReply, const Call& aCall, std::vector<ClaimView>& aChanged);
  void Announce(const std::vector<ClaimView>& aViews, Effects& aEffects) const;
  void OnWritten(const PlatformReply& aReply, const Call& aCall, Effects& aEffects, Time aNow);
  void Take(const KeyValue& aKeyValue, std::vector<ClaimView>& aChanged);
  bool IsBusy(std::uint32_t aShard) const;
  bool IsOwnJoin(std::uint32_t aShard) const;

  const ClaimSettings& m_settings;
  EntryId m_self;
  ClaimMembers& m_members;
  Random m_random;
  std::vector<std::optional<ClaimView>> m_views;
  /// For each shard, the number of the view in which this entry last completed its handover (it
  /// has all slots), or 0.
  std::vector<Revision> m_joinedViews;
  std::map<std::uint32_t, PendingChange> m_pendingChanges;
  std::map<std::uint64_t, Call> m_calls;
  std::uint64_t m_callNumber = 0;
  bool m_isListing = false;
  bool m_hasListed = false;
  Time m_confirmedAt{};
  Time m_nextRefresh{};
  Time m_lastRefresh{};
  Time m_nextCheckAt{};
  Time m_backOffUntil{};
  Revision m_newestRevision = 0;
};

} // namespace fennelline

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

/// Knows the views of all shards, from the platform and from peers, and changes them there by
/// compare-and-swap when a holder is gone or leaving. It never changes a view by itself: a view is
/// in force because the platform has it, whoever wrote it and whether or not the reply came.
class ViewDirectory {
public:
  ViewDirectory(const ClaimSettings& aSettings, EntryId aSelf, ClaimMembers& aMembers,
                std::uint64_t aSeed);

  /// The newest known view; null where there is none yet.
  const ClaimView* Find(std::uint32_t aShard) const;
  std::size_t Known() const;
  std::size_t HeldBy(const EntryId& aEntry) const;

  /// Takes a view from anywhere. Returns true where it is newer than the known one.
  bool Offer(const ClaimView& aView);

  /// Whether the views known here were read from the platform so recently that this entry may vote.
  bool IsTrusted(Time aNow) const;

  /// Something points to a newer view: read them all soon.
  void RequestRefresh(Time aNow);

  /// Writes the joining view of this number as complete. The holder that joined calls this.
  void ReportJoined(std::uint32_t aShard, Revision aNumber);

  /// Views that changed are returned, for the holders and the open claims to follow.
  std::vector<ClaimView> OnPlatformReply(const PlatformReply& aReply, Effects& aEffects, Time aNow);
  void Tick(Effects& aEffects, Time aNow);

private:
  enum class CallKind : std::uint8_t { List, Get, Put };
  struct Call {
    CallKind m_kind = CallKind::List;
    std::uint32_t m_shard = 0;
    Time m_sentAt;
  };
  /// A view change that is due once it has been wanted long enough.
  struct Wanted {
    Time m_since;
    bool m_losesSlots = false;
  };

  void Send(Effects& aEffects, Call aCall, PlatformRequest aRequest);
  void RefreshIfDue(Effects& aEffects, Time aNow);
  void EndLostCalls(Effects& aEffects, Time aNow);
  void ConsiderChange(std::uint32_t aShard, Effects& aEffects, Time aNow);
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
  /// For each shard, the number of the view that this entry has joined.
  std::vector<Revision> m_joined;
  std::map<std::uint32_t, Wanted> m_wanted;
  std::map<std::uint64_t, Call> m_calls;
  std::uint64_t m_callNumber = 0;
  bool m_isListing = false;
  bool m_hasListed = false;
  Time m_confirmedAt{};
  Time m_nextRefresh{};
  Time m_lastRefresh{};
  Time m_nextConsidered{};
  Time m_backOffUntil{};
  Revision m_newest = 0;
};

} // namespace fennelline

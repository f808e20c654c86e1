#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/ClaimMessages.h"
#include "LibCoordination/Claims/ClaimSettings.h"
#include "LibCoordination/Claims/SlotStore.h"
#include "LibCoordination/Claims/ViewDirectory.h"
#include "LibCoordination/Effect.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fennelline {

/// The shards whose slots this entry holds. It votes for attempts in the newest view that it knows.
///
/// A view records, for each holder, the number of the view since which it has held all slots. If
/// that is the number this holder remembers, its slots are complete. A joining holder receives the
/// slots of all others. In any other case slots are missing here, and the holder answers Lost for
/// every free slot until everything that was claimed before is older than the retry window.
class ClaimHolder {
public:
  ClaimHolder(const ClaimSettings& aSettings, EntryId aSelf, ViewDirectory& aViews);

  /// Switches to a view. If this entry is the view's joining holder, requests the slots.
  void Adopt(const ClaimView& aView, Effects& aEffects, Time aNow);

  ClaimReply Vote(const ClaimRequest& aRequest, Time aNow);
  void Release(const ClaimRelease& aRelease);
  /// Returns null if this entry does not serve the shard.
  std::optional<ClaimOutcomeAck> Store(const ClaimOutcome& aOutcome, Time aNow);

  /// Sends all slots to the joining holder that requested them.
  void HandOver(const EntryId& aTo, const ClaimView& aView, Effects& aEffects, Time aNow);
  void OnHandover(const EntryId& aFrom, const SlotHandoverPage& aPage, Effects& aEffects,
                  Time aNow);

  void Tick(Effects& aEffects, Time aNow);

  std::size_t ShardsServed() const;
  std::size_t Slots() const;

  /// How long a shard answers Lost after slots were lost. After that, every earlier claim is older
  /// than the retry window, even if partitioned holders kept voting for
  /// ClaimSettings::m_viewValidity.
  static Duration LostPeriod(const ClaimSettings& aSettings);

private:
  /// The pages received from another holder of its newest snapshot.
  struct ReceivedSnapshot {
    std::uint64_t m_snapshot = 0;
    std::map<std::uint32_t, std::vector<ClaimSlot>> m_pages;
    std::size_t m_pageCount = 0;
    std::int64_t m_lostMilliseconds = 0;

    bool HasAllPages() const { return m_pageCount > 0 && m_pages.size() == m_pageCount; }
  };
  struct Shard {
    explicit Shard(const ClaimSettings& aSettings)
      : m_slots(aSettings) {}

    SlotStore m_slots;
    Revision m_view = 0;
    /// The number of the view since which the slots are complete; zero if they are not.
    Revision m_since = 0;
    bool m_isServing = false;
    Time m_lostUntil{};
    std::map<EntryId, ReceivedSnapshot> m_received;
    /// When to request the slots again or, at other holders, notify the joining holder again.
    Time m_nextRequestAt = kNever;
  };

  void StartJoining(Shard& aShard, const ClaimView& aView, Effects& aEffects, Time aNow);
  void RequestSlots(Shard& aShard, const ClaimView& aView, Effects& aEffects, Time aNow);
  void FinishJoining(Shard& aShard, const ClaimView& aView, Effects& aEffects, Time aNow);
  void RenotifyJoining(Shard& aShard, const ClaimView& aView, Effects& aEffects, Time aNow);
  void RecordJoined(const ClaimView& aView, Effects& aEffects) const;
  ClaimReply VoteInShard(Shard& aShard, const ClaimRequest& aRequest, ClaimReply aReply, Time aNow);
  bool IsJoining(const ClaimView& aView) const { return aView.m_joining == m_self; }

  const ClaimSettings& m_settings;
  EntryId m_self;
  ViewDirectory& m_views;
  std::map<std::uint32_t, Shard> m_shards;
  std::uint64_t m_snapshots = 0;
};

} // namespace fennelline

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

/// The shards whose slots this entry holds. It votes for attempts in the newest view it knows.
///
/// A holder knows whether its slots are complete by the number since which the view says that it
/// has held them: where that is the number it remembers, they are. A joining holder takes over the
/// slots of all others. In any other case, slots that it should have are lost; then it answers Lost
/// for every free slot until all that was claimed before is older than the retry window.
class ClaimHolder {
public:
  ClaimHolder(const ClaimSettings& aSettings, EntryId aSelf, ViewDirectory& aViews);

  /// Follows a view that is new here. Where this entry is joining, it asks for the slots.
  void Adopt(const ClaimView& aView, Effects& aEffects, Time aNow);

  ClaimReply Vote(const ClaimRequest& aRequest, Time aNow);
  void Release(const ClaimRelease& aRelease);
  /// Null where this entry does not hold the shard.
  std::optional<ClaimOutcomeAck> Store(const ClaimOutcome& aOutcome, Time aNow);

  /// Sends all slots to the joining holder that asks for them.
  void HandOver(const EntryId& aTo, const ClaimView& aView, Effects& aEffects, Time aNow);
  void OnHandover(const EntryId& aFrom, const SlotHandoverPage& aPage, Effects& aEffects,
                  Time aNow);

  void Tick(Effects& aEffects, Time aNow);

  std::size_t ShardsServed() const;
  std::size_t Slots() const;

  /// How long a shard answers Lost: everything claimed before is then older than the retry window,
  /// even if holders that were cut off went on granting for as long as they may.
  static Duration LostPeriod(const ClaimSettings& aSettings);

private:
  /// The pages that one other holder has handed over of its newest snapshot.
  struct Intake {
    std::uint64_t m_snapshot = 0;
    std::map<std::uint32_t, std::vector<ClaimSlot>> m_pages;
    std::size_t m_expected = 0;
    std::int64_t m_lostMilliseconds = 0;

    bool IsWhole() const { return m_expected > 0 && m_pages.size() == m_expected; }
  };
  struct Shard {
    explicit Shard(const ClaimSettings& aSettings)
      : m_slots(aSettings) {}

    SlotStore m_slots;
    Revision m_view = 0;
    /// The number since which the slots here are complete; zero where they are not.
    Revision m_since = 0;
    bool m_isServing = false;
    Time m_lostUntil{};
    std::map<EntryId, Intake> m_intakes;
    /// When to ask for slots again, or to remind the joining holder.
    Time m_askAt = kNever;
  };

  void StartJoining(Shard& aShard, const ClaimView& aView, Effects& aEffects, Time aNow);
  void AskForSlots(Shard& aShard, const ClaimView& aView, Effects& aEffects, Time aNow);
  void FinishJoining(Shard& aShard, const ClaimView& aView, Effects& aEffects, Time aNow);
  void RemindJoining(Shard& aShard, const ClaimView& aView, Effects& aEffects, Time aNow);
  void Announce(const ClaimView& aView, Effects& aEffects) const;
  ClaimReply VoteInShard(Shard& aShard, const ClaimRequest& aRequest, ClaimReply aReply, Time aNow);
  bool IsJoining(const ClaimView& aView) const { return aView.m_joining == m_self; }

  const ClaimSettings& m_settings;
  EntryId m_self;
  ViewDirectory& m_views;
  std::map<std::uint32_t, Shard> m_shards;
  std::uint64_t m_snapshots = 0;
};

} // namespace fennelline

#pragma once

#include "LibBase/Time.h"
#include "LibCoordination/ClaimMessages.h"
#include "LibCoordination/Claims/ClaimSettings.h"
#include "LibCoordination/Claims/ViewDirectory.h"
#include "LibCoordination/Effect.h"

#include <cstdint>
#include <map>
#include <set>

namespace fennelline {

/// Leaves the outcomes of own attempts with the holders, and asks again until all of them have it
/// or it has been offered long enough. The owner itself keeps the outcome, so a lost one costs an
/// answer only when the owner dies as well.
class OutcomeReplicator {
public:
  OutcomeReplicator(const ClaimSettings& aSettings, const ViewDirectory& aViews);

  void Start(const ClaimSlot& aSlot, Effects& aEffects, Time aNow);
  void OnStored(const EntryId& aFrom, const ClaimOutcomeAck& aStored);
  void Tick(Effects& aEffects, Time aNow);

private:
  struct Pending {
    ClaimSlot m_slot;
    std::set<EntryId> m_stored;
    Time m_offerAt;
    Time m_endAt;
    Duration m_interval{0};
  };

  /// Returns true once every holder of the present view has the outcome.
  bool Offer(Pending& aPending, Effects& aEffects, Time aNow);

  const ClaimSettings& m_settings;
  const ViewDirectory& m_views;
  std::map<std::uint64_t, Pending> m_pending;
};

} // namespace fennelline

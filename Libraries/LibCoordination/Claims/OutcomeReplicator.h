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

/// Sends the outcomes of this entry's attempts to the holders, and resends them until all holders
/// have confirmed or ClaimSettings::m_outcomePersistence has passed. The owner also keeps the
/// outcome, so an answer is only lost if the owner fails as well.
class OutcomeReplicator {
public:
  OutcomeReplicator(const ClaimSettings& aSettings, const ViewDirectory& aViews);

  void Start(const ClaimSlot& aSlot, Effects& aEffects, Time aNow);
  void OnAck(const EntryId& aFrom, const ClaimOutcomeAck& aAck);
  void Tick(Effects& aEffects, Time aNow);

private:
  struct Pending {
    ClaimSlot m_slot;
    std::set<EntryId> m_acknowledged;
    Time m_nextSendAt;
    Time m_stopAt;
    Duration m_interval{0};
  };

  /// Returns true once every holder of the current view has the outcome.
  bool Send(Pending& aPending, Effects& aEffects, Time aNow);

  const ClaimSettings& m_settings;
  const ViewDirectory& m_views;
  std::map<std::uint64_t, Pending> m_pending;
};

} // namespace fennelline

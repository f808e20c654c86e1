#pragma once

#include "LibCoordination/ClaimMessages.h"
#include "LibCoordination/Claims/ClaimMembers.h"
#include "LibCoordination/Claims/ClaimSettings.h"

#include <cstddef>
#include <optional>

namespace fennelline {

/// A view that should take the place of the present one.
struct ViewPlan {
  ClaimView m_view;
  /// Slots are lost by it: it is only made after ClaimSettings::m_lossDelay.
  bool m_losesSlots = false;
};

/// What should become of a view, given who is alive; null where it is right as it is.
///
/// Votes of an older view stay safe because a plan that loses no slots keeps so many holders that
/// each quorum of the old view includes one of them, and the one new holder waits for all of them.
/// Hence one holder is exchanged at a time.
std::optional<ViewPlan> PlanView(const ClaimView& aView, ClaimMembers& aMembers,
                                 const ClaimSettings& aSettings, Time aNow);

/// The very first view of a shard: its maker alone. It grows from there.
ClaimView FirstView(std::uint32_t aShard, const EntryId& aSelf);

/// The view as the joining holder writes it when it has all slots.
ClaimView JoinedView(const ClaimView& aView);

/// How many alive entries should try to change the shard's view before this one.
std::size_t ChangeRank(std::uint32_t aShard, const ClaimView* aView, const ClaimMembers& aMembers,
                       const EntryId& aSelf);

} // namespace fennelline

#pragma once

#include "LibCoordination/ClaimMessages.h"
#include "LibCoordination/Claims/ClaimMembers.h"
#include "LibCoordination/Claims/ClaimSettings.h"

#include <cstddef>
#include <optional>

namespace fennelline {

/// A view that should replace the current one.
struct ViewPlan {
  ClaimView m_view;
  /// The change loses slots, so it is only written after ClaimSettings::m_lossDelay.
  bool m_losesSlots = false;
};

/// Plans the next change of a view, given which members are alive; null if no change is needed.
///
/// A plan that loses no slots keeps enough holders that every quorum of the old view includes one
/// of them, and the new holder waits for the slots of all of them. Votes of the old view thus stay
/// in effect. This is why only one holder is replaced at a time.
std::optional<ViewPlan> PlanView(const ClaimView& aView, ClaimMembers& aMembers,
                                 const ClaimSettings& aSettings, Time aNow);

/// The first view of a shard, with its creator as the only holder. Others are added one by one.
ClaimView InitialView(std::uint32_t aShard, const EntryId& aSelf);

/// The view that the joining holder writes once it has all slots.
ClaimView JoinedView(const ClaimView& aView);

/// How many live entries come before this one in the order in which entries change a shard's view.
std::size_t ChangeRank(std::uint32_t aShard, const ClaimView* aView, const ClaimMembers& aMembers,
                       const EntryId& aSelf);

} // namespace fennelline

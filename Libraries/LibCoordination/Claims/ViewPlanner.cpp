#include "LibCoordination/Claims/ViewPlanner.h"

#include "LibBase/StableHash.h"
#include "LibCoordination/Claims/ClaimKeys.h"
#include "LibCoordination/Claims/ViewRecord.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace fennelline {

namespace {

/// Rendezvous hashing: each shard orders the entries differently.
std::uint64_t Score(std::uint32_t aShard, const EntryId& aEntry) {
  return StableHash(std::to_string(aShard) + ":" + aEntry);
}

/// Ordered by preference: entries in a data centre without a holder first, then by higher score.
struct Candidate {
  bool m_newDataCentre = false;
  std::uint64_t m_score = 0;
  EntryId m_entry;

  bool IsBetterThan(const Candidate& aOther) const {
    if (m_newDataCentre != aOther.m_newDataCentre) {
      return m_newDataCentre;
    }
    return m_score != aOther.m_score ? m_score > aOther.m_score : m_entry < aOther.m_entry;
  }
};

std::set<DataCentre> DataCentresOf(const std::vector<EntryId>& aEntries,
                                   const ClaimMembers& aMembers) {
  std::set<DataCentre> dataCentres;
  for (const EntryId& entry : aEntries) {
    dataCentres.insert(aMembers.DataCentreOf(entry));
  }
  return dataCentres;
}

/// The live entry that is the best addition to the kept holders; null if there is none.
std::optional<Candidate> BestCandidate(const ClaimView& aKept, const ClaimView& aOld,
                                       const ClaimMembers& aMembers) {
  const std::set<DataCentre> used = DataCentresOf(aKept.m_holders, aMembers);
  std::optional<Candidate> best;
  for (const std::pair<const EntryId, ClaimMembers::Member>& member : aMembers.All()) {
    const bool isHolder = IsHolder(aKept, member.first) || IsHolder(aOld, member.first);
    if (member.second.m_state != MemberState::Alive || isHolder) {
      continue;
    }
    const Candidate candidate{.m_newDataCentre = !used.contains(member.second.m_dataCentre),
                              .m_score = Score(aKept.m_shard, member.first),
                              .m_entry = member.first};
    if (!best || candidate.IsBetterThan(*best)) {
      best = candidate;
    }
  }
  return best;
}

/// A draft of a view with the holders that aKeep accepts. Its number is zero, which stands for the
/// revision of its write.
template<typename Keep>
ClaimView Draft(const ClaimView& aView, const Keep& aKeep) {
  ClaimView draft{.m_shard = aView.m_shard, .m_number = 0, .m_revision = aView.m_revision};
  for (std::size_t i = 0; i < aView.m_holders.size(); ++i) {
    if (aKeep(aView.m_holders[i])) {
      draft.m_holders.push_back(aView.m_holders[i]);
      draft.m_since.push_back(aView.m_since.at(i));
    }
  }
  return draft;
}

/// Adds a joining holder if there is a candidate.
void AddJoining(ClaimView& aDraft, const ClaimView& aOld, const ClaimMembers& aMembers) {
  const std::optional<Candidate> candidate = BestCandidate(aDraft, aOld, aMembers);
  if (candidate) {
    aDraft.m_holders.push_back(candidate->m_entry);
    aDraft.m_since.push_back(0);
    aDraft.m_joining = candidate->m_entry;
  }
}

/// A view with the remaining holders and new ones, none of which is taken to have all slots.
ViewPlan PlanWithSlotLoss(const ClaimView& aView, ClaimMembers& aMembers,
                          const ClaimSettings& aSettings, Time aNow) {
  ClaimView draft =
    Draft(aView, [&](const EntryId& aEntry) { return !aMembers.IsGone(aEntry, aNow); });
  while (draft.m_holders.size() < aSettings.m_holders) {
    const std::optional<Candidate> candidate = BestCandidate(draft, aView, aMembers);
    if (!candidate) {
      break;
    }
    draft.m_holders.push_back(candidate->m_entry);
  }
  draft.m_since.assign(draft.m_holders.size(), 0);
  draft.m_lost = true;
  return {.m_view = std::move(draft), .m_losesSlots = true};
}

/// The minimum number of holders to keep, so that each quorum of the view includes one of them and
/// a new holder learns of all granted attempts.
std::size_t MinHoldersKept(const ClaimView& aView) {
  return aView.m_holders.size() - QuorumOf(aView) + 1;
}

/// Whether a granted attempt has the slot of every holder of the view.
bool HoldersHaveAllSlots(const ClaimView& aView) {
  return QuorumOf(aView) == aView.m_holders.size();
}

/// Null if no entry can join and the view must not shrink. A view of fewer holders may only follow
/// if each of them has all slots; otherwise slots that only one of them has would be lost with the
/// next change. The holder that stays does no harm, since the others are still a quorum.
std::optional<ViewPlan> Replace(const ClaimView& aView, const EntryId& aEntry,
                                const ClaimMembers& aMembers) {
  ClaimView draft = Draft(aView, [&](const EntryId& aHolder) { return aHolder != aEntry; });
  AddJoining(draft, aView, aMembers);
  if (draft.m_joining.empty() && !HoldersHaveAllSlots(aView)) {
    return std::nullopt;
  }
  return ViewPlan{.m_view = std::move(draft)};
}

std::optional<ViewPlan> PlanGrowth(const ClaimView& aView, const ClaimMembers& aMembers) {
  ClaimView draft = Draft(aView, [](const EntryId&) { return true; });
  AddJoining(draft, aView, aMembers);
  if (draft.m_joining.empty()) {
    return std::nullopt;
  }
  return ViewPlan{.m_view = std::move(draft)};
}

/// Replaces one of several holders in the same data centre if another data centre has a live entry.
std::optional<ViewPlan> PlanDataCentreSpread(const ClaimView& aView, const ClaimMembers& aMembers) {
  const std::size_t spread = DataCentresOf(aView.m_holders, aMembers).size();
  if (spread == aView.m_holders.size() || aMembers.AliveDataCentres() <= spread) {
    return std::nullopt;
  }
  std::set<DataCentre> seen;
  for (const EntryId& holder : aView.m_holders) {
    if (seen.insert(aMembers.DataCentreOf(holder)).second) {
      continue;
    }
    std::optional<ViewPlan> plan = Replace(aView, holder, aMembers);
    const bool isWider = plan && DataCentresOf(plan->m_view.m_holders, aMembers).size() > spread;
    return isWider ? plan : std::nullopt;
  }
  return std::nullopt;
}

std::optional<ViewPlan> PlanLeaving(const ClaimView& aView, const ClaimMembers& aMembers) {
  const auto leaving =
    std::find_if(aView.m_holders.begin(), aView.m_holders.end(),
                 [&](const EntryId& aHolder) { return aMembers.IsLeaving(aHolder); });
  if (leaving == aView.m_holders.end()) {
    return std::nullopt;
  }
  if (aView.m_holders.size() - 1 < MinHoldersKept(aView)) {
    return PlanGrowth(aView, aMembers);
  }
  return Replace(aView, *leaving, aMembers);
}

/// Plans a change of a view without a joining holder.
std::optional<ViewPlan> PlanStable(const ClaimView& aView, const std::vector<EntryId>& aGone,
                                   ClaimMembers& aMembers, const ClaimSettings& aSettings,
                                   Time aNow) {
  if (aView.m_holders.size() - aGone.size() < MinHoldersKept(aView)) {
    return PlanWithSlotLoss(aView, aMembers, aSettings, aNow);
  }
  if (!aGone.empty()) {
    return Replace(aView, aGone.front(), aMembers);
  }
  if (aView.m_holders.size() < aSettings.m_holders) {
    const std::optional<ViewPlan> growth = PlanGrowth(aView, aMembers);
    if (growth) {
      return growth;
    }
  }
  const std::optional<ViewPlan> leaving = PlanLeaving(aView, aMembers);
  return leaving ? leaving : PlanDataCentreSpread(aView, aMembers);
}

/// Plans a change of a view with a joining holder. Its slots may be incomplete, so it counts as
/// having none.
std::optional<ViewPlan> PlanJoining(const ClaimView& aView, const std::vector<EntryId>& aGone,
                                    ClaimMembers& aMembers, const ClaimSettings& aSettings,
                                    Time aNow) {
  if (aGone.empty()) {
    return std::nullopt;
  }
  if (aGone.size() == 1 && aGone.front() == aView.m_joining) {
    return Replace(aView, aView.m_joining, aMembers);
  }
  return PlanWithSlotLoss(aView, aMembers, aSettings, aNow);
}

} // namespace

std::optional<ViewPlan> PlanView(const ClaimView& aView, ClaimMembers& aMembers,
                                 const ClaimSettings& aSettings, Time aNow) {
  std::vector<EntryId> gone;
  for (const EntryId& holder : aView.m_holders) {
    if (aMembers.IsGone(holder, aNow)) {
      gone.push_back(holder);
    }
  }
  std::optional<ViewPlan> plan = aView.m_joining.empty()
                                   ? PlanStable(aView, gone, aMembers, aSettings, aNow)
                                   : PlanJoining(aView, gone, aMembers, aSettings, aNow);
  if (plan && plan->m_view.m_holders.empty()) {
    return std::nullopt;
  }
  return plan;
}

ClaimView InitialView(std::uint32_t aShard, const EntryId& aSelf) {
  return {.m_shard = aShard, .m_holders = {aSelf}, .m_since = {0}};
}

ClaimView JoinedView(const ClaimView& aView) {
  ClaimView joined = aView;
  joined.m_joining.clear();
  return joined;
}

std::size_t ChangeRank(std::uint32_t aShard, const ClaimView* aView, const ClaimMembers& aMembers,
                       const EntryId& aSelf) {
  const auto rankKey = [&](const EntryId& aEntry) {
    const bool isHolder = aView != nullptr && IsHolder(*aView, aEntry);
    return std::pair(!isHolder, ~Score(aShard, aEntry));
  };
  const std::pair<bool, std::uint64_t> own = rankKey(aSelf);
  std::size_t rank = 0;
  for (const std::pair<const EntryId, ClaimMembers::Member>& member : aMembers.All()) {
    if (member.second.m_state == MemberState::Alive && rankKey(member.first) < own) {
      ++rank;
    }
  }
  return rank;
}

} // namespace fennelline

#pragma once

#include "LibDecision/ReplicaChoice.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

namespace fennelline {

/// A way to choose a backend server. Each entry has its own.
template<typename Policy>
concept ReplicaPolicy = requires(Policy& aPolicy, const ReplicaQuery& aQuery,
                                 std::span<const ReplicaView> aReplicas, Random& aRandom) {
  { aPolicy.Choose(aQuery, aReplicas, aRandom) } -> std::same_as<std::optional<ReplicaChoice>>;
};

inline ReplicaChoice ChoiceOf(std::size_t aIndex, const ReplicaQuery& aQuery,
                              std::span<const ReplicaView> aReplicas) {
  return {.m_index = aIndex, .m_expectedWait = ExpectedWait(aReplicas[aIndex], aQuery)};
}

/// The policy of LibDecision.
struct ModelAwarePolicy {
  std::optional<ReplicaChoice> Choose(const ReplicaQuery& aQuery,
                                      std::span<const ReplicaView> aReplicas, Random& aRandom) {
    return ChooseReplica(aQuery, aReplicas, aRandom);
  }
};

struct RandomPolicy {
  std::optional<ReplicaChoice> Choose(const ReplicaQuery& aQuery,
                                      std::span<const ReplicaView> aReplicas, Random& aRandom) {
    return ChoiceOf(aRandom.Below(aReplicas.size()), aQuery, aReplicas);
  }
};

struct RoundRobinPolicy {
  std::size_t m_next = 0;

  std::optional<ReplicaChoice> Choose(const ReplicaQuery& aQuery,
                                      std::span<const ReplicaView> aReplicas, Random& /*aRandom*/) {
    m_next = (m_next + 1) % aReplicas.size();
    return ChoiceOf(m_next, aQuery, aReplicas);
  }
};

/// The least of this entry's own outstanding requests, as proxies without load reports do; ties
/// are left to chance.
struct LeastOutstandingPolicy {
  std::optional<ReplicaChoice> Choose(const ReplicaQuery& aQuery,
                                      std::span<const ReplicaView> aReplicas, Random& aRandom) {
    std::size_t best = 0;
    std::size_t ties = 0;
    for (std::size_t index = 0; index < aReplicas.size(); ++index) {
      const std::int64_t outstanding = aReplicas[index].m_ownOutstanding;
      if (outstanding < aReplicas[best].m_ownOutstanding) {
        ties = 0;
      }
      if (ties == 0 || outstanding == aReplicas[best].m_ownOutstanding) {
        ++ties;
        best = aRandom.Below(ties) == 0 ? index : best;
      }
    }
    return ChoiceOf(best, aQuery, aReplicas);
  }
};

/// The least reported load plus own requests sent since: what a newcomer would do with the reports.
struct LeastReportedPolicy {
  std::optional<ReplicaChoice> Choose(const ReplicaQuery& aQuery,
                                      std::span<const ReplicaView> aReplicas, Random& /*aRandom*/) {
    std::size_t best = 0;
    for (std::size_t index = 1; index < aReplicas.size(); ++index) {
      best = LoadOf(aReplicas[index]) < LoadOf(aReplicas[best]) ? index : best;
    }
    return ChoiceOf(best, aQuery, aReplicas);
  }
  static std::int64_t LoadOf(const ReplicaView& aReplica) {
    return aReplica.m_reportedRunning + aReplica.m_reportedQueued + aReplica.m_ownSinceReport;
  }
};

} // namespace fennelline

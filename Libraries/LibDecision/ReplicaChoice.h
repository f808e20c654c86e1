#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace fennelline {

/// One backend server as this entry sees it, for the choice among those of a version or service.
struct ReplicaView {
  /// From the server's last report.
  std::int64_t m_reportedRunning = 0;
  std::int64_t m_reportedQueued = 0;
  std::int64_t m_reportedQueuedTokens = 0;
  double m_tokensPerSecond = 0.0;
  Duration m_reportAge{0};
  /// Requests and tokens this entry has sent there and not seen finished, and those of them that
  /// were sent since the report was made.
  std::int64_t m_ownOutstanding = 0;
  std::int64_t m_ownOutstandingTokens = 0;
  std::int64_t m_ownSinceReport = 0;
  std::int64_t m_ownTokensSinceReport = 0;
  /// Leading tokens of the prompt believed to be in its prefix cache.
  std::int64_t m_cachedPrefixTokens = 0;
  /// One way.
  Duration m_distance{0};
  /// Requests it runs at once before it queues.
  std::int64_t m_slots = 0;
  /// Recent failures make it a last resort, without ruling it out.
  double m_failureRate = 0.0;
  /// A server that is leaving, or that has crashed this request before, is not eligible.
  bool m_eligible = true;
};

struct ReplicaQuery {
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
  /// Entries that choose from the same reports; spreads simultaneous choices.
  std::int64_t m_entryCount = 1;
};

struct ReplicaChoice {
  std::size_t m_index = 0;
  Duration m_expectedWait{0};
};

/// The expected wait before a server starts the request.
Duration ExpectedWait(const ReplicaView& aReplica, const ReplicaQuery& aQuery);

/// Chooses a backend server, or none where none is eligible.
std::optional<ReplicaChoice> ChooseReplica(const ReplicaQuery& aQuery,
                                           std::span<const ReplicaView> aReplicas, Random& aRandom);

} // namespace fennelline

#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace fennelline {

/// An entry's view of one backend server, used to choose among those of a version or service.
struct ReplicaView {
  /// From the server's last report.
  std::int64_t m_reportedRunning = 0;
  std::int64_t m_reportedQueued = 0;
  std::int64_t m_reportedQueuedTokens = 0;
  /// Tokens generated per second with all slots busy; zero for plain services.
  double m_tokensPerSecond = 0.0;
  Duration m_reportAge{0};
  /// Requests and tokens that this entry has sent there and that have not finished, and those of
  /// them that were sent since the report was made.
  std::int64_t m_ownOutstanding = 0;
  std::int64_t m_ownOutstandingTokens = 0;
  std::int64_t m_ownSinceReport = 0;
  std::int64_t m_ownTokensSinceReport = 0;
  /// This entry's requests that were there when the report was made and have ended since.
  std::int64_t m_ownEndedSinceReport = 0;
  /// Uncached prompt tokens of this entry's requests there that have not returned a first token.
  std::int64_t m_ownPromptTokens = 0;
  /// Leading prompt tokens expected to be in its prefix cache.
  std::int64_t m_cachedPrefixTokens = 0;
  /// Network latency, one way.
  Duration m_distance{0};
  /// Number of requests it runs at once before it queues.
  std::int64_t m_slots = 0;
  /// Share of recent failures; it makes the server a last resort without ruling it out.
  double m_failureRate = 0.0;
  /// False for a server that is draining or has already crashed while running this request.
  bool m_eligible = true;
};

struct ReplicaQuery {
  std::int64_t m_inputTokens = 0;
  std::int64_t m_outputTokens = 0;
  /// Number of entries that choose based on the same reports; used to spread simultaneous choices.
  std::int64_t m_entryCount = 1;
  /// Time that a plain service takes for one request; used if no tokens are generated.
  Duration m_serviceTime = Milliseconds(20);
  /// The request goes ahead of queued ones, because its kind is more urgent than most.
  bool m_jumpsQueue = false;
};

struct ReplicaChoice {
  std::size_t m_index = 0;
  Duration m_expectedWait{0};
};

/// Maximum number of servers considered per choice, whatever the size of the fleet.
constexpr std::size_t kMaxReplicasConsidered = 32;

/// Picks distinct random indices of [0, aCount), as many as fit into aIndices, and returns their
/// number. Callers with many servers of a version build views only for these and for the servers
/// that have the prompt's prefix cached, and choose among them.
std::size_t SampleIndices(std::size_t aCount, std::span<std::size_t> aIndices, Random& aRandom);

/// Returns the expected wait before a server starts the request.
Duration ExpectedWait(const ReplicaView& aReplica, const ReplicaQuery& aQuery);

/// Chooses a backend server, or none if none is eligible. If there are more than
/// kMaxReplicasConsidered, it considers that many, starting at a random position.
std::optional<ReplicaChoice> ChooseReplica(const ReplicaQuery& aQuery,
                                           std::span<const ReplicaView> aReplicas, Random& aRandom);

} // namespace fennelline

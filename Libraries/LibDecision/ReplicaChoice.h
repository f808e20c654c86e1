#pragma once

#include "LibBase/Random.h"
#include "LibBase/Time.h"

#include <cstddef>
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
  /// Tokens that it generates in a second with all slots busy; zero for plain services.
  double m_tokensPerSecond = 0.0;
  Duration m_reportAge{0};
  /// Requests and tokens this entry has sent there and not seen finished, and those of them that
  /// were sent since the report was made.
  std::int64_t m_ownOutstanding = 0;
  std::int64_t m_ownOutstandingTokens = 0;
  std::int64_t m_ownSinceReport = 0;
  std::int64_t m_ownTokensSinceReport = 0;
  /// Own requests that were there when the report was made and have ended since.
  std::int64_t m_ownEndedSinceReport = 0;
  /// Prompt tokens, beyond those cached, of own requests there that have not shown a first token.
  std::int64_t m_ownPromptTokens = 0;
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
  /// Time that one request of a plain service takes; looked at where no tokens are generated.
  Duration m_serviceTime = Milliseconds(20);
  /// The request goes ahead of queued ones (its kind is more urgent than most).
  bool m_jumpsQueue = false;
};

struct ReplicaChoice {
  std::size_t m_index = 0;
  Duration m_expectedWait{0};
};

/// A choice looks at no more servers than this, whatever the size of the fleet.
constexpr std::size_t kMaxReplicasConsidered = 32;

/// Picks distinct indices of [0, aCount) at random, as many as fit into aIndices, and returns how
/// many. For callers with many servers of a version: build views for these and for the servers
/// that hold the prompt's prefix, and choose among them.
std::size_t SampleIndices(std::size_t aCount, std::span<std::size_t> aIndices, Random& aRandom);

/// The expected wait before a server starts the request.
Duration ExpectedWait(const ReplicaView& aReplica, const ReplicaQuery& aQuery);

/// Chooses a backend server, or none where none is eligible. Of more than kMaxReplicasConsidered
/// it looks at that many from a random place on.
std::optional<ReplicaChoice> ChooseReplica(const ReplicaQuery& aQuery,
                                           std::span<const ReplicaView> aReplicas, Random& aRandom);

} // namespace fennelline

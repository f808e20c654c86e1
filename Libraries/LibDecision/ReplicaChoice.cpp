#include "LibDecision/ReplicaChoice.h"

#include <algorithm>
#include <array>

namespace fennelline {

namespace {

/// Prompt tokens are processed this many times as fast as answer tokens are generated.
constexpr double kPromptSpeed = 10.0;

/// Fraction of the time per token that grows with the number of running requests.
constexpr double kBatchSlowdown = 0.6;

/// Weight of the prefill time. Prefill delays the server's other requests, and the new cache
/// entries evict another prefix, so it counts for more than its own time.
constexpr double kPromptWeight = 6.0;

/// Cost of a failed attempt.
constexpr double kFailureSeconds = 2.0;
constexpr double kMaxFailureRate = 0.95;

/// Each other entry is assumed to have sent this fraction of what this entry has sent to a server
/// since the report, and to have this fraction of this entry's outstanding requests there in
/// addition to the report.
constexpr double kExtrapolatedSent = 0.5;
constexpr double kExtrapolatedOutstanding = 0.125;

/// Limit on the number of other entries extrapolated to: beyond it, one entry's few requests say
/// little about those of all others.
constexpr std::int64_t kMaxExtrapolatedEntries = 16;

/// Each other entry is assumed to be about to send this fraction of what this entry has sent since
/// the reports. This work fills the least loaded servers first, and choices are spread over it.
constexpr double kUnseenFraction = 0.05;

/// Differences below this fraction of one request's work are decided at random.
constexpr double kTieVolume = 0.5;

/// A server with its expected time to the complete answer.
struct Candidate {
  std::size_t m_index = 0;
  double m_seconds = 0.0;
};

using Candidates = std::array<Candidate, kMaxReplicasConsidered>;

double Slots(const ReplicaView& aReplica) {
  return static_cast<double>(std::max<std::int64_t>(1, aReplica.m_slots));
}

double OtherEntries(const ReplicaQuery& aQuery) {
  const std::int64_t others = std::max<std::int64_t>(1, aQuery.m_entryCount) - 1;
  return static_cast<double>(std::min(others, kMaxExtrapolatedEntries));
}

/// Requests known to be at the server: this entry's own, and those in the report that are not this
/// entry's.
double KnownRequests(const ReplicaView& aReplica) {
  const std::int64_t reported = aReplica.m_reportedRunning + aReplica.m_reportedQueued;
  const std::int64_t ownAtReport =
    aReplica.m_ownOutstanding - aReplica.m_ownSinceReport + aReplica.m_ownEndedSinceReport;
  const std::int64_t ofOthers = std::max<std::int64_t>(0, reported - ownAtReport);
  return static_cast<double>(aReplica.m_ownOutstanding + ofOthers);
}

/// Known requests plus those that the other entries have probably sent. They choose from the same
/// reports, so each is assumed to have acted like this one. This spreads the choices of each entry,
/// and so of all entries together, evenly over the servers.
double ForeseenRequests(const ReplicaView& aReplica, const ReplicaQuery& aQuery) {
  const double perOtherEntry =
    kExtrapolatedSent * static_cast<double>(aReplica.m_ownSinceReport) +
    kExtrapolatedOutstanding * static_cast<double>(aReplica.m_ownOutstanding);
  return KnownRequests(aReplica) + OtherEntries(aQuery) * perOtherEntry;
}

/// Estimated tokens per request at the server.
double TokensPerRequest(const ReplicaView& aReplica, const ReplicaQuery& aQuery) {
  if (aReplica.m_ownOutstanding > 0 && aReplica.m_ownOutstandingTokens > 0) {
    return static_cast<double>(aReplica.m_ownOutstandingTokens) /
           static_cast<double>(aReplica.m_ownOutstanding);
  }
  return static_cast<double>(std::max<std::int64_t>(1, aQuery.m_outputTokens));
}

/// Seconds until the server has finished one more request.
double SecondsPerRequest(const ReplicaView& aReplica, const ReplicaQuery& aQuery) {
  if (aReplica.m_tokensPerSecond > 0.0) {
    return TokensPerRequest(aReplica, aQuery) / aReplica.m_tokensPerSecond;
  }
  return InSeconds(aQuery.m_serviceTime) / Slots(aReplica);
}

double WaitSeconds(const ReplicaView& aReplica, const ReplicaQuery& aQuery, double aRequests) {
  double ahead = std::max(0.0, aRequests - Slots(aReplica) + 1.0);
  if (aQuery.m_jumpsQueue) {
    ahead = std::min(ahead, 1.0);
  }
  return ahead * SecondsPerRequest(aReplica, aQuery);
}

/// Seconds until the prompt is processed, after the waiting prompts of this entry's requests there.
double PromptSeconds(const ReplicaView& aReplica, const ReplicaQuery& aQuery) {
  if (aReplica.m_tokensPerSecond <= 0.0) {
    return 0.0;
  }
  const std::int64_t uncached =
    std::max<std::int64_t>(0, aQuery.m_inputTokens - aReplica.m_cachedPrefixTokens);
  const auto tokens = static_cast<double>(uncached + aReplica.m_ownPromptTokens);
  return tokens / (kPromptSpeed * aReplica.m_tokensPerSecond);
}

double GenerationSeconds(const ReplicaView& aReplica, const ReplicaQuery& aQuery,
                         double aRequests) {
  if (aReplica.m_tokensPerSecond <= 0.0) {
    return InSeconds(aQuery.m_serviceTime);
  }
  const double slots = Slots(aReplica);
  const double busy = std::min(1.0, aRequests / slots);
  const double perTokenWhenFull = slots / aReplica.m_tokensPerSecond;
  const double perToken = perTokenWhenFull * (1.0 - kBatchSlowdown + kBatchSlowdown * busy);
  return static_cast<double>(aQuery.m_outputTokens) * perToken;
}

double ExpectedSeconds(const ReplicaView& aReplica, const ReplicaQuery& aQuery) {
  const double requests = ForeseenRequests(aReplica, aQuery);
  const double seconds =
    WaitSeconds(aReplica, aQuery, requests) + kPromptWeight * PromptSeconds(aReplica, aQuery) +
    GenerationSeconds(aReplica, aQuery, requests) + 2.0 * InSeconds(aReplica.m_distance);
  const double failures = std::clamp(aReplica.m_failureRate, 0.0, kMaxFailureRate);
  return (seconds + failures * kFailureSeconds) / (1.0 - failures);
}

/// Increase of the expected time of the next request per additional request on the server.
double SecondsAdded(const ReplicaView& aReplica, const ReplicaQuery& aQuery) {
  return SecondsPerRequest(aReplica, aQuery) + PromptSeconds(aReplica, aQuery) / Slots(aReplica);
}

std::size_t CollectCandidates(const ReplicaQuery& aQuery, std::span<const ReplicaView> aReplicas,
                              Candidates& aCandidates, Random& aRandom) {
  // If there are more servers than fit, takes those from a random position on.
  const std::size_t size = aReplicas.size();
  const std::size_t start = size > aCandidates.size() ? aRandom.Below(size) : 0;
  std::size_t count = 0;
  for (std::size_t step = 0; step < size && count < aCandidates.size(); ++step) {
    const std::size_t index = (start + step) % size;
    if (aReplicas[index].m_eligible) {
      aCandidates[count] = {.m_index = index,
                            .m_seconds = ExpectedSeconds(aReplicas[index], aQuery)};
      ++count;
    }
  }
  return count;
}

/// Returns the level to which a volume of work fills the candidates, which are sorted by time.
double FillLevel(std::span<const Candidate> aSorted, double aVolume) {
  double below = 0.0;
  for (std::size_t count = 1; count <= aSorted.size(); ++count) {
    below += aSorted[count - 1].m_seconds;
    const double level = (aVolume + below) / static_cast<double>(count);
    if (count == aSorted.size() || level <= aSorted[count].m_seconds) {
      return level;
    }
  }
  return 0.0;
}

/// Picks a candidate with a probability proportional to its distance below the level.
std::size_t PickBelow(std::span<const Candidate> aSorted, double aLevel, double aVolume,
                      Random& aRandom) {
  double left = aRandom.Uniform() * aVolume;
  for (std::size_t position = 0; position < aSorted.size(); ++position) {
    left -= std::max(0.0, aLevel - aSorted[position].m_seconds);
    if (left < 0.0) {
      return position;
    }
  }
  return 0;
}

} // namespace

std::size_t SampleIndices(std::size_t aCount, std::span<std::size_t> aIndices, Random& aRandom) {
  const std::size_t picked = std::min(aCount, aIndices.size());
  // Floyd's algorithm: as many steps as indices picked.
  for (std::size_t step = 0; step < picked; ++step) {
    const std::size_t last = aCount - picked + step;
    const std::size_t drawn = aRandom.Below(last + 1);
    const std::span<std::size_t> chosen = aIndices.first(step);
    const bool taken = std::find(chosen.begin(), chosen.end(), drawn) != chosen.end();
    aIndices[step] = taken ? last : drawn;
  }
  return picked;
}

Duration ExpectedWait(const ReplicaView& aReplica, const ReplicaQuery& aQuery) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double seconds = WaitSeconds(aReplica, aQuery, KnownRequests(aReplica));
  return Duration(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond));
}

std::optional<ReplicaChoice> ChooseReplica(const ReplicaQuery& aQuery,
                                           std::span<const ReplicaView> aReplicas,
                                           Random& aRandom) {
  Candidates storage{};
  const std::size_t count = CollectCandidates(aQuery, aReplicas, storage, aRandom);
  if (count == 0) {
    return std::nullopt;
  }
  const std::span<Candidate> candidates(storage.data(), count);
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.m_seconds < aRight.m_seconds;
            });

  // Requests that the other entries are sending at the same time fill the least loaded servers
  // first. Choosing in proportion to that filling keeps the entries from all choosing the same
  // server.
  double sentSinceReport = 0.0;
  for (const Candidate& candidate : candidates) {
    sentSinceReport += static_cast<double>(aReplicas[candidate.m_index].m_ownSinceReport);
  }
  const double unseen = kUnseenFraction * OtherEntries(aQuery) * sentSinceReport;
  const double added = SecondsAdded(aReplicas[candidates.front().m_index], aQuery);
  const double volume = (unseen + kTieVolume) * added;
  const double level = FillLevel(candidates, volume);
  const std::size_t position = PickBelow(candidates, level, volume, aRandom);
  const std::size_t index = candidates[position].m_index;
  return ReplicaChoice{.m_index = index, .m_expectedWait = ExpectedWait(aReplicas[index], aQuery)};
}

} // namespace fennelline

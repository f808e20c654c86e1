#include "LibDecision/ReplicaChoice.h"

#include <algorithm>
#include <array>

namespace fennelline {

namespace {

/// Prompt tokens are read this many times as fast as answer tokens are generated.
constexpr double kPromptSpeed = 10.0;

/// The part of the time for a token that grows with the number of running requests.
constexpr double kBatchSlowdown = 0.6;

/// Reading a prompt holds up the other requests of the server, and what it adds to the cache
/// pushes out another prefix, so it counts for more than its own time.
constexpr double kPromptWeight = 6.0;

/// What a failed attempt costs.
constexpr double kFailureSeconds = 2.0;
constexpr double kMostFailureRate = 0.95;

/// Each other entry is taken to have sent this part of what this entry has sent to a server since
/// the report, and to have this part of this entry's outstanding requests there beyond the report.
constexpr double kMirroredSent = 0.5;
constexpr double kMirroredOutstanding = 0.125;

/// With more entries than this, one entry's few requests say little about those of all others.
constexpr std::int64_t kMostMirroredEntries = 16;

/// Each other entry is taken to be about to place this part of what this entry has sent since the
/// reports. It fills the shortest servers first and is what choices are spread over.
constexpr double kUnseenPart = 0.05;

/// Differences below this part of one request's work are left to chance.
constexpr double kTieVolume = 0.5;

/// A server with its expected time until the answer is whole.
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
  return static_cast<double>(std::min(others, kMostMirroredEntries));
}

/// Requests known to be at the server: this entry's own, and those that were there by the report
/// and are not this entry's.
double KnownRequests(const ReplicaView& aReplica) {
  const std::int64_t reported = aReplica.m_reportedRunning + aReplica.m_reportedQueued;
  const std::int64_t ownAtReport =
    aReplica.m_ownOutstanding - aReplica.m_ownSinceReport + aReplica.m_ownEndedSinceReport;
  const std::int64_t ofOthers = std::max<std::int64_t>(0, reported - ownAtReport);
  return static_cast<double>(aReplica.m_ownOutstanding + ofOthers);
}

/// The same with what the other entries are likely to have sent. They choose from the same
/// reports, so each is taken to have done about what this one did. This spreads the choices of an
/// entry evenly over the servers, and with them those of all entries together.
double ForeseenRequests(const ReplicaView& aReplica, const ReplicaQuery& aQuery) {
  const double mirrored = kMirroredSent * static_cast<double>(aReplica.m_ownSinceReport) +
                          kMirroredOutstanding * static_cast<double>(aReplica.m_ownOutstanding);
  return KnownRequests(aReplica) + OtherEntries(aQuery) * mirrored;
}

/// Tokens of one request that is there, as far as known.
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

/// Seconds until the prompt is read, after the prompts of own requests that still wait there.
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
  const double failures = std::clamp(aReplica.m_failureRate, 0.0, kMostFailureRate);
  return (seconds + failures * kFailureSeconds) / (1.0 - failures);
}

/// By how much one more request lengthens the expected time of the next one there.
double SecondsAdded(const ReplicaView& aReplica, const ReplicaQuery& aQuery) {
  return SecondsPerRequest(aReplica, aQuery) + PromptSeconds(aReplica, aQuery) / Slots(aReplica);
}

std::size_t CollectCandidates(const ReplicaQuery& aQuery, std::span<const ReplicaView> aReplicas,
                              Candidates& aCandidates, Random& aRandom) {
  // Of more servers than fit, those from a random place on.
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

/// The level up to which the candidates, sorted by time, are filled by a volume of work.
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

/// Picks each candidate with a chance in proportion to its distance below the level.
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
  // Floyd's algorithm: distinct indices in as many steps as are picked.
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

  // Requests that the other entries are sending right now fill the shortest servers first.
  // Choosing in proportion to that filling keeps all entries from meeting at one server.
  double sentSinceReport = 0.0;
  for (const Candidate& candidate : candidates) {
    sentSinceReport += static_cast<double>(aReplicas[candidate.m_index].m_ownSinceReport);
  }
  const double unseen = kUnseenPart * OtherEntries(aQuery) * sentSinceReport;
  const double added = SecondsAdded(aReplicas[candidates.front().m_index], aQuery);
  const double volume = (unseen + kTieVolume) * added;
  const double level = FillLevel(candidates, volume);
  const std::size_t position = PickBelow(candidates, level, volume, aRandom);
  const std::size_t index = candidates[position].m_index;
  return ReplicaChoice{.m_index = index, .m_expectedWait = ExpectedWait(aReplicas[index], aQuery)};
}

} // namespace fennelline

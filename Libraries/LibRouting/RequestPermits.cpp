#include "LibRouting/RequestPermits.h"

#include "LibBase/RendezvousRank.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

/// Permits that each level of urgency leaves to the more urgent ones.
constexpr double kReservedPerLevel = 0.5;
/// Number of refused requests that are expected to come back, in seconds of the rate.
constexpr double kMaxRefusedSeconds = 10.0;

constexpr Duration kBucketLifetime = Seconds(60);

/// An entry that is cut off from the others for longer than this counts as dead.
constexpr Duration kLostMemory = Seconds(10);

/// The entries learn of a change of members within 0.7 s of each other. Meanwhile two of them may
/// be the issuer of a server for different entries.
constexpr Duration kHandoverTime = Seconds(1);

/// Adds a sending and forgets those of more than a second ago.
void AddSent(std::deque<Time>& aSent, Time aNow) {
  aSent.push_back(aNow);
  while (aNow - aSent.front() >= Seconds(1)) {
    aSent.pop_front();
  }
}

Duration FromSeconds(double aSeconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

void PermitBucket::Refill(double aRate, double aMostUnused, Time aNow) {
  const double passed = m_refilledAt ? aRate * InSeconds(aNow - *m_refilledAt) : 0.0;
  m_refilledAt = aNow;
  m_permits = std::min(aMostUnused, m_permits + passed);
  m_refused = std::max(0.0, m_refused - passed);
}

PermitDecision PermitBucket::Take(const PermitTerms& aTerms, double aShare, int aUrgency,
                                  Time aNow) {
  const double rate = std::max(kMinPermitsPerSecond, aTerms.m_perSecond * aShare);
  Refill(rate, aTerms.m_mostUnused, aNow);
  const double reserved = aTerms.m_mostUnused < kMaxPermits ? 0.0 : kReservedPerLevel;
  const double needed = 1.0 + reserved * std::clamp(aUrgency, 0, kUrgencyLevels - 1);
  if (m_permits >= needed) {
    m_permits -= 1.0;
    return {.m_isGranted = true};
  }
  const double next = (needed - m_permits) / rate;
  const double likely = std::min(next + m_refused / rate, InSeconds(kMaxPermitWait));
  m_refused = std::min(m_refused + 1.0, rate * kMaxRefusedSeconds);
  return {.m_nextPermit = FromSeconds(next), .m_likelyWait = FromSeconds(likely)};
}

void PermitBucket::Count(const PermitTerms& aTerms, double aShare, Time aNow) {
  Refill(std::max(kMinPermitsPerSecond, aTerms.m_perSecond * aShare), aTerms.m_mostUnused, aNow);
  // What was sent more than a second ago does not count any more.
  m_permits = std::max(m_permits - 1.0, -aTerms.m_perSecond);
}

PermitIssuer::UsedBucket& PermitIssuer::Use(std::uint64_t aServer, Time aNow) {
  UsedBucket& used = m_buckets[aServer];
  const bool isRecentIssuer = aNow - used.m_usedAt > kHandoverTime;
  if (isRecentIssuer && aNow - m_membersChangedAt < kHandoverTime) {
    used.m_issuesFrom = m_membersChangedAt + kHandoverTime;
  }
  used.m_usedAt = aNow;
  return used;
}

PermitDecision PermitIssuer::Take(std::uint64_t aServer, double aPerSecond, double aShare,
                                  int aUrgency, Time aNow) {
  return Use(aServer, aNow).m_bucket.Take(aPerSecond, aShare, aUrgency, aNow);
}

PermitDecision PermitIssuer::Take(std::uint64_t aServer, const PermitTerms& aTerms, double aShare,
                                  int aUrgency, Time aNow) {
  UsedBucket& used = Use(aServer, aNow);
  if (aNow < used.m_issuesFrom) {
    return {.m_nextPermit = used.m_issuesFrom - aNow, .m_likelyWait = used.m_issuesFrom - aNow};
  }
  const PermitDecision decision = used.m_bucket.Take(aTerms, aShare, aUrgency, aNow);
  if (decision.m_isGranted) {
    AddSent(used.m_sent, aNow);
  }
  return decision;
}

std::size_t PermitIssuer::Count(std::uint64_t aServer, const PermitTerms& aTerms, double aShare,
                                Time aNow) {
  UsedBucket& used = Use(aServer, aNow);
  used.m_bucket.Count(aTerms, aShare, aNow);
  AddSent(used.m_sent, aNow);
  return used.m_sent.size();
}

void PermitIssuer::Expire(Time aNow) {
  std::erase_if(m_buckets, [aNow](const std::pair<const std::uint64_t, UsedBucket>& aItem) {
    return aNow - aItem.second.m_usedAt > kBucketLifetime;
  });
}

std::size_t ChoosePermitIssuer(std::uint64_t aServer, std::span<const std::uint64_t> aLiveEntries) {
  std::size_t issuer = 0;
  std::uint64_t highest = 0;
  for (std::size_t index = 0; index < aLiveEntries.size(); ++index) {
    const std::uint64_t rank = RendezvousRank(aServer, aLiveEntries[index]);
    if (rank >= highest) {
      highest = rank;
      issuer = index;
    }
  }
  return issuer;
}

void IssuableShare::OnMembers(std::set<std::string> aLiveNodes, Time aNow) {
  for (const std::string& node : m_live) {
    if (!aLiveNodes.contains(node)) {
      m_lost[node] = aNow;
    }
  }
  m_live = std::move(aLiveNodes);
  std::erase_if(m_lost, [this, aNow](const std::pair<const std::string, Time>& aItem) {
    return m_live.contains(aItem.first) || aNow - aItem.second > kLostMemory;
  });
}

double IssuableShare::At(Time aNow) const {
  const std::ptrdiff_t lost = std::count_if(
    m_lost.begin(), m_lost.end(), [aNow](const std::pair<const std::string, Time>& aItem) {
      return aNow - aItem.second <= kLostMemory;
    });
  const double live = static_cast<double>(std::max<std::size_t>(1, m_live.size()));
  return live / (live + static_cast<double>(lost));
}

} // namespace fennelline

#include "LibRouting/RequestPermits.h"

#include "LibBase/RendezvousRank.h"

#include <algorithm>
#include <utility>

namespace fennelline {

namespace {

/// Permits that each level of urgency leaves to the more urgent ones.
constexpr double kReservedPerLevel = 0.5;
/// Maximum number of unused permits. The platform allows five requests in four seconds beyond
/// what the rate does.
constexpr double kMaxPermits = 3.0;

/// Number of refused requests that are expected to come back, in seconds of the rate.
constexpr double kMaxRefusedSeconds = 10.0;

constexpr Duration kBucketLifetime = Seconds(60);

/// An entry that is cut off from the others for longer than this counts as dead.
constexpr Duration kLostMemory = Seconds(10);

Duration FromSeconds(double aSeconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

void PermitBucket::Refill(double aRate, Time aNow) {
  const double passed = m_refilledAt ? aRate * InSeconds(aNow - *m_refilledAt) : 0.0;
  m_refilledAt = aNow;
  m_permits = std::min(kMaxPermits, m_permits + passed);
  m_refused = std::max(0.0, m_refused - passed);
}

PermitDecision PermitBucket::Take(double aPerSecond, double aShare, int aUrgency, Time aNow) {
  const double rate = std::max(kMinPermitsPerSecond, aPerSecond * aShare);
  Refill(rate, aNow);
  const double needed = 1.0 + kReservedPerLevel * std::clamp(aUrgency, 0, kUrgencyLevels - 1);
  if (m_permits >= needed) {
    m_permits -= 1.0;
    return {.m_isGranted = true};
  }
  const double next = (needed - m_permits) / rate;
  const double likely = std::min(next + m_refused / rate, InSeconds(kMaxPermitWait));
  m_refused = std::min(m_refused + 1.0, rate * kMaxRefusedSeconds);
  return {.m_nextPermit = FromSeconds(next), .m_likelyWait = FromSeconds(likely)};
}

PermitDecision PermitIssuer::Take(std::uint64_t aServer, double aPerSecond, double aShare,
                                  int aUrgency, Time aNow) {
  UsedBucket& used = m_buckets[aServer];
  used.m_usedAt = aNow;
  return used.m_bucket.Take(aPerSecond, aShare, aUrgency, aNow);
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

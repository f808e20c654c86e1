#include "LibDecision/PrefixIndex.h"

#include "LibDecision/PrefixHashes.h"

#include <algorithm>

namespace fennelline {

namespace {

/// Number of cells of one server's table. A power of two.
constexpr std::size_t kCells = 8192;

constexpr unsigned kTagShift = 32;

/// Factor applied to the confidence after a gap in the events.
constexpr double kConfidenceAfterGap = 0.5;

/// Each batch of cache events without a gap moves the confidence this fraction of the way back
/// to 1.
constexpr double kRecovery = 0.2;

std::size_t CellOf(std::uint64_t aHash) {
  return static_cast<std::size_t>(aHash % kCells);
}

/// Zero marks an empty cell, so no tag is zero.
std::uint32_t TagOf(std::uint64_t aHash) {
  return static_cast<std::uint32_t>(aHash >> kTagShift) | 1U;
}

} // namespace

bool PrefixIndex::Contains(const Server& aServer, std::uint64_t aHash) {
  return aServer.m_tags[CellOf(aHash)] == TagOf(aHash);
}

void PrefixIndex::Insert(Server& aServer, std::uint64_t aHash) {
  aServer.m_tags.resize(kCells);
  aServer.m_tags[CellOf(aHash)] = TagOf(aHash);
}

void PrefixIndex::Remove(Server& aServer, std::uint64_t aHash) {
  if (!aServer.m_tags.empty() && Contains(aServer, aHash)) {
    aServer.m_tags[CellOf(aHash)] = 0;
  }
}

void PrefixIndex::OnCacheEvents(const std::string& aServer, std::span<const std::uint64_t> aAdded,
                                std::span<const std::uint64_t> aRemoved, bool aGap) {
  Server& server = m_servers[aServer];
  if (aGap) {
    server.m_confidence *= kConfidenceAfterGap;
  } else {
    server.m_confidence += (1.0 - server.m_confidence) * kRecovery;
  }
  for (const std::uint64_t hash : aRemoved) {
    Remove(server, hash);
  }
  for (const std::uint64_t hash : aAdded) {
    Insert(server, hash);
  }
}

void PrefixIndex::OnSent(const std::string& aServer, std::span<const std::uint64_t> aHashes) {
  Server& server = m_servers[aServer];
  for (const std::uint64_t hash : aHashes) {
    Insert(server, hash);
  }
}

void PrefixIndex::Forget(const std::string& aServer) {
  m_servers.erase(aServer);
}

std::int64_t PrefixIndex::CachedTokens(const std::string& aServer,
                                       std::span<const std::uint64_t> aHashes) const {
  const auto found = m_servers.find(aServer);
  if (found == m_servers.end() || found->second.m_tags.empty()) {
    return 0;
  }
  // If a prefix is cached, all shorter ones are cached too, so binary search finds the longest. An
  // overwritten cell can only make the result too short, never too long.
  std::size_t known = 0;
  std::size_t unknown = aHashes.size() + 1;
  while (unknown - known > 1) {
    const std::size_t middle = known + (unknown - known) / 2;
    if (Contains(found->second, aHashes[middle - 1])) {
      known = middle;
    } else {
      unknown = middle;
    }
  }
  const double tokens = static_cast<double>(known) * static_cast<double>(kTokensPerPrefixBlock);
  return static_cast<std::int64_t>(tokens * found->second.m_confidence);
}

} // namespace fennelline

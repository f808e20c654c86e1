#include "Utilities/StandinEngine/PrefixCache.h"

#include <xxhash.h>

namespace fennelline {

namespace {

constexpr std::size_t kBlockCharacters = 64;
constexpr std::size_t kMaxLogEntries = 20'000;

} // namespace

std::vector<std::uint64_t> BlockHashes(const std::string& aPrompt) {
  std::vector<std::uint64_t> hashes;
  for (std::size_t end = kBlockCharacters; end <= aPrompt.size(); end += kBlockCharacters) {
    hashes.push_back(XXH64(aPrompt.data(), end, 0));
  }
  return hashes;
}

std::size_t PrefixCache::Use(const std::vector<std::uint64_t>& aHashes, Time aNow) {
  std::size_t cached = 0;
  bool isPrefix = true;
  for (const std::uint64_t hash : aHashes) {
    const auto found = m_blocks.find(hash);
    isPrefix = isPrefix && found != m_blocks.end();
    cached += isPrefix ? 1 : 0;
    if (found != m_blocks.end()) {
      m_recent.splice(m_recent.begin(), m_recent, found->second);
      continue;
    }
    m_recent.push_front(hash);
    m_blocks[hash] = m_recent.begin();
    Record(hash, true, aNow);
  }
  while (m_recent.size() > m_maxBlocks) {
    Record(m_recent.back(), false, aNow);
    m_blocks.erase(m_recent.back());
    m_recent.pop_back();
  }
  return cached;
}

void PrefixCache::Record(std::uint64_t aHash, bool aIsAdded, Time aNow) {
  ++m_lastNumber;
  m_log.push_back({m_lastNumber, aNow, aHash, aIsAdded});
  if (m_log.size() > kMaxLogEntries) {
    m_log.pop_front();
  }
}

void PrefixCache::DropPendingChanges(Time aNow) {
  while (!m_log.empty() && m_log.back().m_at + m_lag > aNow) {
    m_log.pop_back();
  }
}

CacheChanges PrefixCache::ChangesAfter(std::uint64_t aNumber, Time aNow) const {
  CacheChanges changes{.m_next = aNumber};
  for (const Change& change : m_log) {
    if (change.m_number <= aNumber) {
      continue;
    }
    if (change.m_at + m_lag > aNow) {
      break;
    }
    changes.m_gap = changes.m_gap || change.m_number != changes.m_next + 1;
    changes.m_next = change.m_number;
    (change.m_isAdded ? changes.m_added : changes.m_removed).push_back(change.m_hash);
  }
  return changes;
}

} // namespace fennelline

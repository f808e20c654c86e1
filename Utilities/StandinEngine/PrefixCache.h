#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// Hashes the prefixes of a prompt in complete blocks of 64 characters, shortest first.
std::vector<std::uint64_t> BlockHashes(const std::string& aPrompt);

/// The cache changes visible to a reader.
struct CacheChanges {
  std::uint64_t m_next = 0;
  bool m_gap = false;
  std::vector<std::uint64_t> m_added;
  std::vector<std::uint64_t> m_removed;
};

/// An LRU cache of prompt prefixes with a change log that readers see with a lag and with gaps. Not
/// thread-safe.
class PrefixCache {
public:
  PrefixCache(std::size_t aMaxBlocks, Duration aLag)
    : m_maxBlocks(aMaxBlocks)
    , m_lag(aLag) {}

  /// Adds the blocks of a prompt. Returns the number of leading blocks that were cached already.
  std::size_t Use(const std::vector<std::uint64_t>& aHashes, Time aNow);
  /// Drops the log entries that are not visible yet.
  void DropPendingChanges(Time aNow);
  /// Returns the visible changes after a number.
  CacheChanges ChangesAfter(std::uint64_t aNumber, Time aNow) const;

private:
  struct Change {
    std::uint64_t m_number = 0;
    Time m_at;
    std::uint64_t m_hash = 0;
    bool m_isAdded = true;
  };

  void Record(std::uint64_t aHash, bool aIsAdded, Time aNow);

  std::size_t m_maxBlocks;
  Duration m_lag;
  std::list<std::uint64_t> m_recent;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
  std::deque<Change> m_log;
  std::uint64_t m_lastNumber = 0;
};

} // namespace fennelline

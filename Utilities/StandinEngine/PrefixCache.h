#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelline {

/// Hashes of a prompt's prefixes in whole blocks of 64 characters, shortest first.
std::vector<std::uint64_t> BlockHashes(const std::string& aPrompt);

/// Changes of the cache as a reader sees them.
struct CacheChanges {
  std::uint64_t m_next = 0;
  bool m_gap = false;
  std::vector<std::uint64_t> m_added;
  std::vector<std::uint64_t> m_removed;
};

/// Prefixes of prompts that the engine remembers, the least recently used ones going first, and
/// the log of changes, which readers see late and with gaps. Not synchronised.
class PrefixCache {
public:
  PrefixCache(std::size_t aMostBlocks, Duration aLag)
    : m_mostBlocks(aMostBlocks)
    , m_lag(aLag) {}

  /// Remembers a prompt's blocks. Returns how many of the first ones it knew.
  std::size_t Use(const std::vector<std::uint64_t>& aHashes, Time aNow);
  /// Loses the news of everything that is not visible yet.
  void DropPendingChanges(Time aNow);
  /// Changes after a number that are old enough to be seen.
  CacheChanges ChangesAfter(std::uint64_t aNumber, Time aNow) const;

private:
  struct Change {
    std::uint64_t m_number = 0;
    Time m_at;
    std::uint64_t m_hash = 0;
    bool m_isAdded = true;
  };

  void Record(std::uint64_t aHash, bool aIsAdded, Time aNow);

  std::size_t m_mostBlocks;
  Duration m_lag;
  std::list<std::uint64_t> m_recent;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
  std::deque<Change> m_log;
  std::uint64_t m_lastNumber = 0;
};

} // namespace fennelline

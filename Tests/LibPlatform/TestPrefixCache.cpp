#include "Utilities/StandinEngine/PrefixCache.h"

#include <doctest/doctest.h>

using namespace fennelline;

TEST_CASE("A known prompt prefix is found, and the cache size is bounded") {
  PrefixCache cache(4, Duration{0});
  const Time now{};
  const std::string shared(128, 'a');
  CHECK(cache.Use(BlockHashes(shared + std::string(64, 'b')), now) == 0);
  CHECK(cache.Use(BlockHashes(shared + std::string(64, 'c')), now) == 2);
  cache.Use(BlockHashes(std::string(256, 'd')), now);
  CHECK(cache.Use(BlockHashes(shared), now) == 0);
}

TEST_CASE("Cache events are delayed, and lost events are reported as a gap") {
  PrefixCache cache(100, Milliseconds(200));
  const Time start{};
  cache.Use(BlockHashes(std::string(64, 'a')), start);
  CHECK(cache.ChangesAfter(0, start + Milliseconds(100)).m_added.empty());
  const CacheChanges news = cache.ChangesAfter(0, start + Milliseconds(200));
  CHECK(news.m_added.size() == 1);
  CHECK_FALSE(news.m_gap);
  cache.Use(BlockHashes(std::string(64, 'b')), start + Seconds(1));
  cache.DropPendingChanges(start + Seconds(1));
  cache.Use(BlockHashes(std::string(64, 'c')), start + Seconds(2));
  const CacheChanges later = cache.ChangesAfter(news.m_next, start + Seconds(3));
  CHECK(later.m_added.size() == 1);
  CHECK(later.m_gap);
}

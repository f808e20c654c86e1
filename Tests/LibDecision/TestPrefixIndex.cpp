#include "LibDecision/PrefixHashes.h"
#include "LibDecision/PrefixIndex.h"

#include <doctest/doctest.h>
#include <string>
#include <xxhash.h>

using namespace fennelline;

TEST_CASE("prefix hashes are xxh64 over whole blocks from the prompt's start") {
  const std::string prompt(200, 'x');
  const std::vector<std::uint64_t> hashes = PrefixHashes(prompt);
  REQUIRE(hashes.size() == 3);
  CHECK(hashes[0] == XXH64(prompt.data(), 64, 0));
  CHECK(hashes[2] == XXH64(prompt.data(), 192, 0));
  CHECK(PrefixHashes("short").empty());
  CHECK(PrefixHashes(std::string(1'000'000, 'y')).size() == kMaxPrefixBlocks);
}

TEST_CASE("the longest cached prefix is found, and removed prefixes are forgotten") {
  PrefixIndex index;
  const std::vector<std::uint64_t> hashes = PrefixHashes(std::string(640, 'a') + "tail");
  CHECK(index.CachedTokens("e1", hashes) == 0);
  index.OnCacheEvents("e1", std::span(hashes).first(7), {}, false);
  CHECK(index.CachedTokens("e1", hashes) == 7 * kTokensPerPrefixBlock);
  index.OnCacheEvents("e1", {}, std::span(hashes).subspan(3, 4), false);
  CHECK(index.CachedTokens("e1", hashes) == 3 * kTokensPerPrefixBlock);
  index.OnSent("e2", hashes);
  CHECK(index.CachedTokens("e2", hashes) == 10 * kTokensPerPrefixBlock);
  index.Forget("e2");
  CHECK(index.CachedTokens("e2", hashes) == 0);
}

TEST_CASE("a gap lowers the confidence in a server's cache, and further events restore it") {
  PrefixIndex index;
  const std::vector<std::uint64_t> hashes = PrefixHashes(std::string(640, 'a'));
  index.OnCacheEvents("e1", hashes, {}, false);
  const std::int64_t before = index.CachedTokens("e1", hashes);
  index.OnCacheEvents("e1", {}, {}, true);
  const std::int64_t after = index.CachedTokens("e1", hashes);
  CHECK(after <= before / 2);
  index.OnCacheEvents("e1", {}, {}, false);
  CHECK(index.CachedTokens("e1", hashes) > after);
}

TEST_CASE("a full table does not report prefixes that were never added") {
  PrefixIndex index;
  for (int prompt = 0; prompt < 2000; ++prompt) {
    index.OnSent("e1", PrefixHashes(std::to_string(prompt) + std::string(6400, 'b')));
  }
  int claimed = 0;
  for (int prompt = 2000; prompt < 3000; ++prompt) {
    const std::vector<std::uint64_t> unknown =
      PrefixHashes(std::to_string(prompt) + std::string(6400, 'c'));
    claimed += index.CachedTokens("e1", unknown) > 0 ? 1 : 0;
  }
  CHECK(claimed == 0);
  const std::vector<std::uint64_t> last = PrefixHashes("1999" + std::string(6400, 'b'));
  CHECK(index.CachedTokens("e1", last) > 0);
}

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace fennelline {

/// Model engines identify cached prompt prefixes in whole blocks of this many characters.
constexpr std::size_t kPrefixBlockCharacters = 64;

/// Assumed number of tokens per block.
constexpr std::int64_t kTokensPerPrefixBlock = 16;

/// Maximum number of hashed blocks per prompt.
constexpr std::size_t kMaxPrefixBlocks = 1024;

/// Returns the xxh64 hash (seed 0) of each prefix of the prompt that ends at a block boundary,
/// shortest first.
std::vector<std::uint64_t> PrefixHashes(std::string_view aPrompt);

} // namespace fennelline

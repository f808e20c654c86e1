#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace fennelline {

/// Model engines name cached prompt prefixes in whole blocks of this many characters.
constexpr std::size_t kPrefixBlockCharacters = 64;

/// A block is taken for this many tokens.
constexpr std::int64_t kTokensPerPrefixBlock = 16;

/// Prompts are hashed up to this many blocks.
constexpr std::size_t kMaxPrefixBlocks = 1024;

/// The xxh64 hash (seed 0) of each prefix of the prompt that ends with a whole block, shortest
/// first.
std::vector<std::uint64_t> PrefixHashes(std::string_view aPrompt);

} // namespace fennelline

#pragma once

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace fennelline {

/// Stable hash that is the same on every entry: entries exchange servers, prefixes and sessions as
/// hashes.
inline std::uint64_t HashOf(std::string_view aText) {
  return XXH3_64bits(aText.data(), aText.size());
}

} // namespace fennelline

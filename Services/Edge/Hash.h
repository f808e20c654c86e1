#pragma once

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace fennelline {

/// Hash that is the same on every entry, since entries identify servers, prompt prefixes and
/// sessions to each other by hash.
inline std::uint64_t HashOf(std::string_view aText) {
  return XXH3_64bits(aText.data(), aText.size());
}

} // namespace fennelline

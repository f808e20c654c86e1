#pragma once

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace fennelline {

/// The same on every entry: names of servers, prefixes and sessions are told between them by it.
inline std::uint64_t HashOf(std::string_view aText) {
  return XXH3_64bits(aText.data(), aText.size());
}

} // namespace fennelline

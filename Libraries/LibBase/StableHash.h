#pragma once

#include <cstdint>
#include <string_view>

namespace fennelline {

/// A hash (FNV-1a with a final mixing step) that is the same on every machine.
std::uint64_t StableHash(std::string_view aBytes);

} // namespace fennelline

#pragma once

#include <string>
#include <string_view>

namespace fennelline {

/// Returns the SHA-256 digest as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view aBytes);

/// Returns the HMAC-SHA-256 as 64 lower-case hexadecimal digits.
std::string HmacSha256Hex(std::string_view aKey, std::string_view aBytes);

/// Compares in constant time: the duration depends only on the lengths.
bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace fennelline

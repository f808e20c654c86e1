#pragma once

#include <string>
#include <string_view>

namespace fennelline {

/// The SHA-256 digest of the bytes, as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view aBytes);

/// The HMAC-SHA-256 of the bytes under a key, as 64 lower-case hexadecimal digits.
std::string HmacSha256Hex(std::string_view aKey, std::string_view aBytes);

/// Compares in a time that depends on the lengths only.
bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace fennelline

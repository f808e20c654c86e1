#pragma once

#include <string>
#include <string_view>

namespace fennelline {

/// Identifies the content of a request: the same on every entry and for each repetition of the
/// request, whatever its id. A cryptographic hash, so that no caller can make a request that is
/// mistaken for another one. Hashes the whole body, so callers keep the result.
std::string ContentFingerprint(std::string_view aAccount, std::string_view aMethod,
                               std::string_view aTarget, std::string_view aBody);

} // namespace fennelline

#pragma once

#include "LibCoordination/Observation/CrashHistory.h"
#include "LibRouting/RequestMetadata.h"

#include <string>
#include <string_view>
#include <vector>

namespace fennelline {

/// Identifies the content of a request: the same on every entry and for each repetition of the
/// request, whatever its id. A cryptographic hash, so that no caller can make a request that is
/// mistaken for another one. Hashes the whole body, so callers keep the result.
std::string ContentFingerprint(std::string_view aAccount, std::string_view aMethod,
                               std::string_view aTarget, std::string_view aBody);

/// Identifies the parts of a prompt that other requests may have too: all but the last, and of more
/// than kMaxFingerprintedParts the last ones.
std::vector<SharedPart> FingerprintParts(std::string_view aAccount,
                                         const std::vector<PromptPart>& aParts);

/// Bounds the memory and time that a request with many small parts takes.
constexpr std::size_t kMaxFingerprintedParts = 32;

} // namespace fennelline

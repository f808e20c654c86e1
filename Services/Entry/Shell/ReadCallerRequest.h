#pragma once

#include "LibBase/Error.h"
#include "Services/Entry/Event.h"

#include <string>

namespace fennelline {

/// Maximum number of answer tokens if the caller does not specify max_tokens.
constexpr std::int64_t kDefaultMaxOutputTokens = 256;

/// Fills in the fields that come from the body of POST /v1/chat/completions. The error describes
/// what is wrong with the body.
Result<void> ReadChatBody(CallerRequest& aRequest);

/// Checks that a service's body is a JSON value.
Result<void> ReadServiceBody(const CallerRequest& aRequest);

/// Parses "Bearer KEY" and returns the SHA-256 digest of the key, or an empty string if there is
/// no key.
std::string KeyHashOf(const std::string& aAuthorization);

/// Parses Fennelline-Deadline-Ms, an integer from 1 to 600000. Returns zero for an empty text.
Result<std::int64_t> ReadDeadline(const std::string& aText);

} // namespace fennelline

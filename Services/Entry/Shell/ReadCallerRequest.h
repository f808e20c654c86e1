#pragma once

#include "LibBase/Error.h"
#include "Services/Entry/Event.h"

#include <string>

namespace fennelline {

/// The most tokens an answer may have where the caller does not say.
constexpr std::int64_t kDefaultMaxOutputTokens = 256;

/// Fills the fields that stand in the body of POST /v1/chat/completions. The error says what is
/// wrong with the body.
Result<void> ReadChatBody(CallerRequest& aRequest);

/// Checks that a service's body is a JSON value.
Result<void> ReadServiceBody(const CallerRequest& aRequest);

/// Reads "Bearer KEY" and returns the SHA-256 digest of the key; empty where there is none.
std::string KeyHashOf(const std::string& aAuthorization);

/// Reads Fennelline-Deadline-Ms: a whole number of at least 1, or an error. Empty gives zero.
Result<std::int64_t> ReadDeadline(const std::string& aText);

} // namespace fennelline

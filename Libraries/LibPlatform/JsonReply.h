#pragma once

#include "LibBase/Error.h"
#include "LibPlatform/HttpTransport.h"

#include <nlohmann/json_fwd.hpp>

namespace fennelline {

/// Returns the JSON object of a reply with status 200, otherwise an error that describes the reply.
Result<nlohmann::json> ParseJsonReply(const HttpReply& aReply);

/// Parses the body as a JSON object. Returns an empty object if it is not one.
nlohmann::json JsonOrEmpty(const std::string& aBody);

} // namespace fennelline

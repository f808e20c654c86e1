#pragma once

#include "LibBase/Error.h"
#include "LibPlatform/HttpTransport.h"

#include <nlohmann/json_fwd.hpp>

namespace fennelline {

/// The reply's JSON object where its status is 200; otherwise an error that says what came.
Result<nlohmann::json> ParseJsonReply(const HttpReply& aReply);

/// The body as a JSON object, or an empty object where it is none.
nlohmann::json JsonOrEmpty(const std::string& aBody);

} // namespace fennelline

#pragma once

#include "LibBase/Error.h"

#include <nlohmann/json.hpp>
#include <string>

namespace fennelline {

/// What entries tell each other is JSON packed as MessagePack.
std::string EncodeMessagePack(const nlohmann::json& aDocument);

/// aRead makes the value of the document. What it does not find there, or what is no packed JSON,
/// is an InvalidMessage.
template<typename Value, typename Read>
Result<Value> DecodeMessagePack(const std::string& aBytes, const Read& aRead) {
  const nlohmann::json document = nlohmann::json::from_msgpack(aBytes, true, false);
  try {
    return aRead(document);
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorCode::InvalidMessage, error.what());
  }
}

} // namespace fennelline

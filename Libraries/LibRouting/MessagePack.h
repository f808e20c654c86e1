#pragma once

#include "LibBase/Error.h"

#include <nlohmann/json.hpp>
#include <string>

namespace fennelline {

/// Encodes JSON as MessagePack, the format of messages between entries.
std::string EncodeMessagePack(const nlohmann::json& aDocument);

/// Whether the document is nested more deeply than any message between entries. The decoder
/// recurses, so it must not be given such a document.
bool IsNestedTooDeeply(const std::string& aBytes);

/// Decodes MessagePack and converts the document with aRead. Missing fields and malformed input
/// give an InvalidMessage error.
template<typename Value, typename Read>
Result<Value> DecodeMessagePack(const std::string& aBytes, const Read& aRead) {
  if (IsNestedTooDeeply(aBytes)) {
    return MakeError(ErrorCode::InvalidMessage, "the message is nested too deeply");
  }
  const nlohmann::json document = nlohmann::json::from_msgpack(aBytes, true, false);
  try {
    return aRead(document);
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorCode::InvalidMessage, error.what());
  }
}

} // namespace fennelline

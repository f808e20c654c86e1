#pragma once

#include "LibCoordination/PlatformCall.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace fennelline {

/// An era as a field of a message between entries.
inline nlohmann::json EraToJson(std::optional<StoreEra> aEra) {
  return aEra ? nlohmann::json(*aEra) : nlohmann::json();
}

/// Reads an era that an entry of an earlier release does not send.
inline std::optional<StoreEra> ReadEra(const nlohmann::json& aMessage, std::size_t aField) {
  if (aMessage.size() <= aField || aMessage.at(aField).is_null()) {
    return std::nullopt;
  }
  return aMessage.at(aField).get<StoreEra>();
}

} // namespace fennelline

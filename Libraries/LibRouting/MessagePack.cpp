#include "LibRouting/MessagePack.h"

#include <cstdint>
#include <vector>

namespace fennelline {

std::string EncodeMessagePack(const nlohmann::json& aDocument) {
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(aDocument);
  return {bytes.begin(), bytes.end()};
}

} // namespace fennelline

#include "LibRouting/LoadUpdates.h"

#include "LibRouting/MessagePack.h"

namespace fennelline {

using nlohmann::json;

std::string EncodeLoadUpdates(const std::vector<LoadUpdate>& aUpdates) {
  json rows = json::array();
  for (const LoadUpdate& update : aUpdates) {
    rows.push_back(json::array({update.m_backend, InMilliseconds(update.m_prefillTime)}));
  }
  return EncodeMessagePack(rows);
}

Result<std::vector<LoadUpdate>> DecodeLoadUpdates(const std::string& aBytes) {
  return DecodeMessagePack<std::vector<LoadUpdate>>(aBytes, [](const json& aRows) {
    std::vector<LoadUpdate> updates;
    for (const json& row : aRows) {
      updates.push_back({.m_backend = row.at(0).get<std::uint64_t>(),
                         .m_prefillTime = Milliseconds(row.at(1).get<std::int64_t>())});
    }
    return updates;
  });
}

} // namespace fennelline

#include "LibRouting/LoadUpdates.h"

#include "LibRouting/MessagePack.h"

namespace fennelline {

using nlohmann::json;

std::string EncodeLoadUpdates(const std::vector<LoadUpdate>& aNotes) {
  json rows = json::array();
  for (const LoadUpdate& note : aNotes) {
    rows.push_back(json::array({note.m_backend, InMilliseconds(note.m_prefillTime)}));
  }
  return EncodeMessagePack(rows);
}

Result<std::vector<LoadUpdate>> DecodeLoadUpdates(const std::string& aBytes) {
  return DecodeMessagePack<std::vector<LoadUpdate>>(aBytes, [](const json& aRows) {
    std::vector<LoadUpdate> notes;
    for (const json& row : aRows) {
      notes.push_back({.m_backend = row.at(0).get<std::uint64_t>(),
                       .m_prefillTime = Milliseconds(row.at(1).get<std::int64_t>())});
    }
    return notes;
  });
}

} // namespace fennelline

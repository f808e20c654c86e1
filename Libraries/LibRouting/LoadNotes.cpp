#include "LibRouting/LoadNotes.h"

#include <nlohmann/json.hpp>

namespace fennelline {

using nlohmann::json;

std::string EncodeLoadNotes(const std::vector<LoadNote>& aNotes) {
  json rows = json::array();
  for (const LoadNote& note : aNotes) {
    rows.push_back(json::array({note.m_backend, InMilliseconds(note.m_readTime)}));
  }
  const std::vector<std::uint8_t> bytes = json::to_msgpack(rows);
  return {bytes.begin(), bytes.end()};
}

Result<std::vector<LoadNote>> DecodeLoadNotes(const std::string& aBytes) {
  const json rows = json::from_msgpack(aBytes, true, false);
  try {
    std::vector<LoadNote> notes;
    for (const json& row : rows) {
      notes.push_back({.m_backend = row.at(0).get<std::uint64_t>(),
                       .m_readTime = Milliseconds(row.at(1).get<std::int64_t>())});
    }
    return notes;
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::InvalidMessage, error.what());
  }
}

} // namespace fennelline

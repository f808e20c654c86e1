#include "LibRouting/LoadNotes.h"

#include "LibRouting/PackedJson.h"

namespace fennelline {

using nlohmann::json;

std::string EncodeLoadNotes(const std::vector<LoadNote>& aNotes) {
  json rows = json::array();
  for (const LoadNote& note : aNotes) {
    rows.push_back(json::array({note.m_backend, InMilliseconds(note.m_readTime)}));
  }
  return PackJson(rows);
}

Result<std::vector<LoadNote>> DecodeLoadNotes(const std::string& aBytes) {
  return UnpackJson<std::vector<LoadNote>>(aBytes, [](const json& aRows) {
    std::vector<LoadNote> notes;
    for (const json& row : aRows) {
      notes.push_back({.m_backend = row.at(0).get<std::uint64_t>(),
                       .m_readTime = Milliseconds(row.at(1).get<std::int64_t>())});
    }
    return notes;
  });
}

} // namespace fennelline

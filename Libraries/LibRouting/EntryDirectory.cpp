#include "LibRouting/EntryDirectory.h"

namespace fennelline {

namespace {

/// With a single entry in its zone, a caller would have no alternative when that entry fails.
constexpr std::size_t kMinInZone = 2;

} // namespace

std::vector<std::string> ChooseEntries(const std::vector<DirectoryEntry>& aEntries,
                                       const std::string& aZone, std::size_t aMaxCount) {
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const DirectoryEntry& entry : aEntries) {
    all.push_back(entry.m_address);
    if (entry.m_zone == aZone) {
      near.push_back(entry.m_address);
    }
  }
  std::vector<std::string> chosen = near.size() >= kMinInZone ? near : all;
  if (chosen.size() > aMaxCount) {
    chosen.resize(aMaxCount);
  }
  return chosen;
}

} // namespace fennelline

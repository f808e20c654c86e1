#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace fennelline {

/// An entry that callers may connect to.
struct DirectoryEntry {
  std::string m_address;
  std::string m_zone;
};

/// Returns the addresses for a caller in aZone: the entries of that zone, to keep its requests
/// local, or all entries if the zone has too few to tolerate the loss of one.
std::vector<std::string> ChooseEntries(const std::vector<DirectoryEntry>& aEntries,
                                       const std::string& aZone, std::size_t aMaxCount);

} // namespace fennelline

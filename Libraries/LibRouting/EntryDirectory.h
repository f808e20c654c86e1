#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace fennelline {

/// An entry that callers may be sent to.
struct DirectoryEntry {
  std::string m_address;
  std::string m_zone;
};

/// The addresses for a caller in a zone: its own zone's entries, so that its requests stay there,
/// and all of them where its own has too few to bear the loss of one.
std::vector<std::string> ChooseEntries(const std::vector<DirectoryEntry>& aEntries,
                                       const std::string& aZone, std::size_t aMost);

} // namespace fennelline

#include "LibHttp/HeaderList.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace fennelline {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopNames = {
  "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
  "transfer-encoding", "upgrade",    "proxy-connection"};

char Lower(char aCharacter) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aCharacter)));
}

std::string_view Trim(std::string_view aText) {
  const std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

bool ListContains(std::string_view aList, std::string_view aName) {
  while (!aList.empty()) {
    const std::size_t comma = std::min(aList.find(','), aList.size());
    if (EqualIgnoringCase(Trim(aList.substr(0, comma)), aName)) {
      return true;
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
  return false;
}

} // namespace

bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight) {
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(), aLeft.end(), aRight.begin(),
                    [](char aOne, char aOther) { return Lower(aOne) == Lower(aOther); });
}

const std::string* HeaderList::Find(std::string_view aName) const {
  const auto found = std::find_if(m_rows.begin(), m_rows.end(), [aName](const Header& aRow) {
    return EqualIgnoringCase(aRow.m_name, aName);
  });
  return found == m_rows.end() ? nullptr : &found->m_value;
}

std::size_t HeaderList::Count(std::string_view aName) const {
  return static_cast<std::size_t>(
    std::count_if(m_rows.begin(), m_rows.end(),
                  [aName](const Header& aRow) { return EqualIgnoringCase(aRow.m_name, aName); }));
}

void HeaderList::Remove(std::string_view aName) {
  std::erase_if(m_rows,
                [aName](const Header& aRow) { return EqualIgnoringCase(aRow.m_name, aName); });
}

bool IsHopByHop(const HeaderList& aHeaders, std::string_view aName) {
  const bool isFixed =
    std::any_of(kHopByHopNames.begin(), kHopByHopNames.end(),
                [aName](std::string_view aFixed) { return EqualIgnoringCase(aFixed, aName); });
  return isFixed ||
         std::any_of(aHeaders.Rows().begin(), aHeaders.Rows().end(), [aName](const Header& aRow) {
           return EqualIgnoringCase(aRow.m_name, "connection") && ListContains(aRow.m_value, aName);
         });
}

} // namespace fennelline

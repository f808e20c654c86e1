#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fennelline {

struct Header {
  std::string m_name;
  std::string m_value;
};

/// Compares ASCII text case-insensitively, as for header names.
bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

/// The headers of an HTTP message, in the order of the message.
class HeaderList {
public:
  void Add(std::string_view aName, std::string_view aValue) {
    m_rows.push_back({std::string(aName), std::string(aValue)});
  }
  /// Returns the first value of the header, or null if absent.
  const std::string* Find(std::string_view aName) const;
  std::size_t Count(std::string_view aName) const;
  void Remove(std::string_view aName);
  const std::vector<Header>& Rows() const { return m_rows; }
  std::vector<Header>& Rows() { return m_rows; }

private:
  std::vector<Header> m_rows;
};

/// Whether a header is hop-by-hop (RFC 9110, section 7.6.1): one of the standard hop-by-hop
/// headers, or one listed in the Connection header.
bool IsHopByHop(const HeaderList& aHeaders, std::string_view aName);

} // namespace fennelline

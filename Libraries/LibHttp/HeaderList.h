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

/// Compares header names, which ignore case.
bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

/// The headers of one HTTP message in their order.
class HeaderList {
public:
  void Add(std::string_view aName, std::string_view aValue) {
    m_rows.push_back({std::string(aName), std::string(aValue)});
  }
  /// The first value under the name, or null.
  const std::string* Find(std::string_view aName) const;
  std::size_t Count(std::string_view aName) const;
  void Remove(std::string_view aName);
  const std::vector<Header>& Rows() const { return m_rows; }
  std::vector<Header>& Rows() { return m_rows; }

private:
  std::vector<Header> m_rows;
};

/// True for headers that concern a single connection (RFC 9110, section 7.6.1): the fixed ones
/// and those that the Connection header names.
bool IsHopByHop(const HeaderList& aHeaders, std::string_view aName);

} // namespace fennelline

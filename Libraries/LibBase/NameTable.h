#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fennelline {

/// Maps enumerators to their names in JSON, logs and metrics.
template<typename Enumeration, std::size_t Count>
using NameTable = std::array<std::pair<Enumeration, std::string_view>, Count>;

template<typename Enumeration, std::size_t Count>
constexpr std::string_view NameOf(const NameTable<Enumeration, Count>& aTable, Enumeration aValue) {
  for (const std::pair<Enumeration, std::string_view>& row : aTable) {
    if (row.first == aValue) {
      return row.second;
    }
  }
  return "unknown";
}

template<typename Enumeration, std::size_t Count>
constexpr std::optional<Enumeration> ValueOf(const NameTable<Enumeration, Count>& aTable,
                                             std::string_view aName) {
  for (const std::pair<Enumeration, std::string_view>& row : aTable) {
    if (row.second == aName) {
      return row.first;
    }
  }
  return std::nullopt;
}

/// Returns the comma-separated names, for error messages.
template<typename Enumeration, std::size_t Count>
std::string NamesOf(const NameTable<Enumeration, Count>& aTable) {
  std::string names;
  for (const std::pair<Enumeration, std::string_view>& row : aTable) {
    names += names.empty() ? "" : ", ";
    names += row.second;
  }
  return names;
}

} // namespace fennelline

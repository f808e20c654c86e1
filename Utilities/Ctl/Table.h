#pragma once

#include <string>
#include <vector>

namespace fennelline {

/// A table for people: columns as wide as their widest cell, two spaces between them.
class Table {
public:
  explicit Table(std::vector<std::string> aHeadings);

  /// A row has as many cells as there are headings.
  void AddRow(std::vector<std::string> aCells);
  std::string Render() const;

private:
  std::vector<std::vector<std::string>> m_rows;
};

} // namespace fennelline

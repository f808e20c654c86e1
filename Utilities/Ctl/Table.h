#pragma once

#include <string>
#include <vector>

namespace fennelline {

/// A text table whose columns are as wide as their widest cell, separated by two spaces.
class Table {
public:
  explicit Table(std::vector<std::string> aHeadings);

  /// Pads or truncates the row to the number of headings.
  void AddRow(std::vector<std::string> aCells);
  std::string Render() const;

private:
  std::vector<std::vector<std::string>> m_rows;
};

} // namespace fennelline

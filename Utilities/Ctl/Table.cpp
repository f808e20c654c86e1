#include "Utilities/Ctl/Table.h"

#include <algorithm>

namespace fennelline {

Table::Table(std::vector<std::string> aHeadings) {
  m_rows.push_back(std::move(aHeadings));
}

void Table::AddRow(std::vector<std::string> aCells) {
  aCells.resize(m_rows.front().size());
  m_rows.push_back(std::move(aCells));
}

std::string Table::Render() const {
  std::vector<std::size_t> widths(m_rows.front().size(), 0);
  for (const std::vector<std::string>& row : m_rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : m_rows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      constexpr std::size_t kGap = 2;
      line += row[column] + std::string(widths[column] - row[column].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace fennelline

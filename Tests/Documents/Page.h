#pragma once

#include <doctest/doctest.h>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace fennelline::test {

/// A file of the source tree; tests run from its root.
inline std::string ReadSource(const std::string& aPath) {
  std::ifstream file(aPath);
  REQUIRE_MESSAGE(file, "cannot read ", aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline std::string Trim(const std::string& aText) {
  const std::size_t first = aText.find_first_not_of(" `");
  if (first == std::string::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" `") - first + 1);
}

using Cells = std::vector<std::string>;

/// The cells of "| a | b |", without blanks and backquotes around them.
inline Cells SplitRow(const std::string& aLine) {
  Cells cells;
  std::istringstream stream(aLine.substr(1));
  std::string cell;
  while (std::getline(stream, cell, '|')) {
    cells.push_back(Trim(cell));
  }
  return cells;
}

/// The rows of the first table under each heading, by heading and first cell. Headings keep no
/// backquotes.
using Tables = std::map<std::string, std::map<std::string, Cells>>;

inline Tables ReadTables(const std::string& aPath) {
  Tables tables;
  std::istringstream stream(ReadSource(aPath));
  std::string heading;
  std::string line;
  int rowsToSkip = 0;
  bool inTable = false;
  while (std::getline(stream, line)) {
    if (line.starts_with("#")) {
      heading = Trim(line.substr(line.find_first_not_of('#')));
    }
    if (!line.starts_with("|")) {
      inTable = false;
      continue;
    }
    if (!inTable) {
      // The head of the table and the line below it.
      rowsToSkip = 2;
      inTable = true;
    }
    if (rowsToSkip > 0) {
      --rowsToSkip;
      continue;
    }
    const Cells cells = SplitRow(line);
    tables[heading][cells.front()] = cells;
  }
  return tables;
}

} // namespace fennelline::test

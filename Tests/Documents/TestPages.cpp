#include "Tests/Documents/Page.h"

#include <filesystem>
#include <regex>

using namespace fennelline::test;

namespace {

std::set<std::string> FindAll(const std::string& aText, const std::string& aPattern) {
  const std::regex pattern(aPattern);
  std::set<std::string> found;
  for (auto match = std::sregex_iterator(aText.begin(), aText.end(), pattern);
       match != std::sregex_iterator(); ++match) {
    found.insert((*match)[1].str());
  }
  return found;
}

std::string ReadSources(const std::string& aFolder) {
  std::string text;
  for (const auto& file : std::filesystem::recursive_directory_iterator(aFolder)) {
    if (file.path().extension() == ".cpp" || file.path().extension() == ".h") {
      text += ReadSource(file.path().string());
    }
  }
  return text;
}

std::set<std::string> FirstCells(const std::map<std::string, Cells>& aRows) {
  std::set<std::string> names;
  for (const auto& [name, cells] : aRows) {
    names.insert(name);
  }
  return names;
}

} // namespace

TEST_CASE("the page of metrics lists those of the code and no other") {
  const std::set<std::string> inCode = FindAll(ReadSources("Services"), "\"(fennelline_[a-z_]+)\"");
  REQUIRE_FALSE(inCode.empty());
  CHECK(FirstCells(ReadTables("docs/METRICS.md").at("Metrics")) == inCode);
}

TEST_CASE("the page of the API lists each problem's code with its status") {
  const std::string source = ReadSource("Services/Entry/Requests/Problem.cpp");
  const std::regex row(R"rx(\{ProblemCode::\w+, (\d+), "([a-z-]+)")rx");
  std::map<std::string, std::string> inCode;
  for (auto match = std::sregex_iterator(source.begin(), source.end(), row);
       match != std::sregex_iterator(); ++match) {
    inCode[(*match)[2].str()] = (*match)[1].str();
  }
  std::map<std::string, std::string> onPage;
  const Tables tables = ReadTables("docs/API.md");
  for (const auto& [code, cells] : tables.at("Refusals")) {
    onPage[code] = cells.at(1);
  }
  REQUIRE_FALSE(inCode.empty());
  CHECK(onPage == inCode);
}

TEST_CASE("the page of changes names each command of fennelline-ctl") {
  const std::string source = ReadSource("Utilities/Ctl/Main.cpp");
  std::set<std::string> commands = FindAll(source, R"(ommand == "([a-z-]+)\")");
  commands.erase("");
  const std::string pages = ReadSource("docs/operating/change.md") +
                            ReadSource("docs/operating/withdraw.md") +
                            ReadSource("docs/operating/timeline.md");
  REQUIRE(commands.size() >= 10);
  for (const std::string& command : commands) {
    INFO(command);
    CHECK(pages.find("fennelline-ctl " + command) != std::string::npos);
  }
}

TEST_CASE("links between pages lead somewhere") {
  for (const auto& file : std::filesystem::recursive_directory_iterator("docs")) {
    if (file.path().extension() != ".md") {
      continue;
    }
    INFO(file.path().string());
    const std::set<std::string> links =
      FindAll(ReadSource(file.path().string()), R"(\]\(([^)#:]+)\))");
    for (const std::string& link : links) {
      INFO(link);
      CHECK(std::filesystem::exists(file.path().parent_path() / link));
    }
  }
}

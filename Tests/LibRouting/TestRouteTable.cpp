#include "LibRouting/RouteTable.h"

#include <doctest/doctest.h>
#include <map>

using namespace fennelline;

namespace {

RoutingConfiguration MakeConfiguration() {
  RoutingConfiguration configuration;
  configuration.m_version = 7;
  configuration.m_routes = {
    {.m_name = "short", .m_host = "a.example", .m_pathPrefix = "/x/", .m_services = {{"one"}}},
    {.m_name = "long", .m_host = "a.example", .m_pathPrefix = "/x/y/", .m_services = {{"two"}}},
    {.m_name = "split",
     .m_host = "b.example",
     .m_pathPrefix = "/",
     .m_services = {{"one", 90.0}, {"two", 10.0}}},
  };
  configuration.m_accounts = {{.m_name = "small", .m_keys = {"k1", "k2"}, .m_priority = {}}};
  return configuration;
}

} // namespace

TEST_CASE("the longest matching prefix of the host wins, and the query is not part of the path") {
  const RouteTable table(MakeConfiguration());
  CHECK(table.FindRoute("a.example", "/x/y/z")->m_name == "long");
  CHECK(table.FindRoute("A.Example:80", "/x/z?/x/y/")->m_name == "short");
  CHECK(table.FindRoute("a.example", "/x") == nullptr);
  CHECK(table.FindRoute("c.example", "/x/") == nullptr);
}

TEST_CASE("an account is found by each of its keys and by no other key") {
  const RouteTable table(MakeConfiguration());
  CHECK(table.FindAccount("k2")->m_name == "small");
  CHECK(table.FindAccount("") == nullptr);
  CHECK(table.FindAccount("k") == nullptr);
}

TEST_CASE("a route with several services follows their weights") {
  const RouteTable table(MakeConfiguration());
  const Route* route = table.FindRoute("b.example", "/");
  std::map<std::string, int> counts;
  for (std::uint64_t number = 0; number < 1'000'000; number += 97) {
    ++counts[RouteTable::ChooseService(*route, number)];
  }
  const double share = counts["two"] / static_cast<double>(counts["one"] + counts["two"]);
  CHECK(share > 0.09);
  CHECK(share < 0.11);
}

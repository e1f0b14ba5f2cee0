#include "decisions/version/routing_table.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;

namespace {

forward_route routeAt(const char *Host, const char *Prefix) {
  forward_route Route;
  Route.Name = std::string(Host) + Prefix;
  Route.Host = Host;
  Route.Prefix = Prefix;
  Route.Split = {{"service", 1}};
  return Route;
}

routing_table makeTable() {
  routing_table Table;
  Table.Routes = {routeAt("a.example", "/x/"), routeAt("a.example", "/x/y/"),
                  routeAt("b.example", "/")};
  Table.index();
  return Table;
}

struct lookup_row {
  char Host[24];
  char Path[24];
  char Route[24]; ///< expected route name; empty for none
};

} // namespace

ParameterizedTestParameters(routing_table, longest_prefix_of_the_host_wins) {
  static lookup_row Rows[] = {
      {"a.example", "/x/1", "a.example/x/"},
      {"a.example", "/x/y/1", "a.example/x/y/"},
      {"a.example", "/x/y", "a.example/x/"},
      {"a.example", "/x", ""},
      {"a.example", "/", ""},
      {"A.Example:8080", "/x/y/", "a.example/x/y/"},
      {"b.example", "/x/y/1", "b.example/"},
      {"c.example", "/x/", ""},
      {"", "/x/", ""},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(lookup_row *Row, routing_table,
                  longest_prefix_of_the_host_wins) {
  const routing_table Table = makeTable();
  const forward_route *Found = Table.findRoute(Row->Host, Row->Path);
  cr_assert(std::string(Found ? Found->Name : "") == Row->Route);
}

Test(routing_table, split_follows_the_weights) {
  forward_route Route;
  Route.Split = {{"a", 90}, {"none", 0}, {"b", 10}};
  int CountA = 0;
  constexpr int Points = 1000;
  for (int Index = 0; Index < Points; ++Index) {
    const auto Service =
        chooseService(Route, static_cast<double>(Index) / Points);
    cr_assert(Service == "a" || Service == "b");
    CountA += Service == "a" ? 1 : 0;
  }
  cr_assert(CountA == 900);
  Route.Split = {{"none", 0}};
  cr_assert(chooseService(Route, 0.5).empty());
}

Test(routing_table, a_key_belongs_to_one_team) {
  routing_table Table;
  team_entry First{.Name = "first", .Keys = {hashKey("s", "k1")}};
  team_entry Second{.Name = "second",
                    .Keys = {hashKey("s", "k2"), hashKey("s", "k3")}};
  Table.Teams = {First, Second};
  Table.index();
  cr_assert(Table.findTeam(hashKey("s", "k1"))->Name == "first");
  cr_assert(Table.findTeam(hashKey("s", "k3"))->Name == "second");
  cr_assert(!Table.findTeam(hashKey("s", "k4")));
  cr_assert(!Table.findTeam(hashKey("other", "k1")));
}

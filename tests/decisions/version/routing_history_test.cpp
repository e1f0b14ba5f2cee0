// Which services can have begun a stream, as configurations change.
#include "decisions/version/routing_history.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <chrono>
#include <memory>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{1000s};

struct change {
  int AtSeconds;       ///< after `Start`; a negative one ends the list
  char Services[2][4]; ///< that the route leads to; both empty: no route
  char Prefix[8];
};

struct history_row {
  char Name[48];
  change Changes[4];
  int AskedAtSeconds;
  int PeriodSeconds;
  bool LedOnlyToS;
};

constexpr change None{-1, {"", ""}, ""};

routing_table_ptr tableOf(const change &Change, std::uint64_t Version) {
  auto Table = std::make_shared<routing_table>();
  Table->Version = Version;
  forward_route Route;
  Route.Host = "h";
  Route.Prefix = Change.Prefix;
  for (const char *Service : Change.Services)
    if (*Service != '\0')
      Route.Split.push_back({Service, 1});
  if (!Route.Split.empty())
    Table->Routes.push_back(Route);
  Table->index();
  return Table;
}

} // namespace

ParameterizedTestParameters(routing_history, knows_the_only_service) {
  static history_row Rows[] = {
      {"one configuration", {{0, {"s", ""}, "/a/"}, None}, 20, 10, true},
      {"known for too short a time",
       {{0, {"s", ""}, "/a/"}, None},
       5,
       10,
       false},
      {"another version",
       {{0, {"s", ""}, "/a/"}, {15, {"s", ""}, "/a/"}, None},
       20,
       10,
       true},
      {"moved",
       {{0, {"t", ""}, "/a/"}, {15, {"s", ""}, "/a/"}, None},
       20,
       10,
       false},
      {"moved before the period",
       {{0, {"t", ""}, "/a/"}, {5, {"s", ""}, "/a/"}, None},
       20,
       10,
       false},
      {"moved long ago",
       {{0, {"t", ""}, "/a/"},
        {5, {"s", ""}, "/a/"},
        {70, {"s", ""}, "/a/"},
        None},
       80,
       10,
       true},
      {"moved and back",
       {{0, {"s", ""}, "/a/"},
        {15, {"t", ""}, "/a/"},
        {16, {"s", ""}, "/a/"},
        None},
       20,
       10,
       false},
      {"split", {{0, {"s", "t"}, "/a/"}, None}, 20, 10, false},
      {"no route before",
       {{0, {"", ""}, "/a/"}, {15, {"s", ""}, "/a/"}, None},
       20,
       10,
       true},
      {"a longer prefix led elsewhere",
       {{0, {"t", ""}, "/a/b/"}, {15, {"s", ""}, "/a/"}, None},
       20,
       10,
       false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(history_row *Row, routing_history, knows_the_only_service) {
  routing_history History;
  std::uint64_t Version = 0;
  for (const change &Change : Row->Changes) {
    if (Change.AtSeconds < 0)
      break;
    History.onInForce(tableOf(Change, ++Version),
                      Start + std::chrono::seconds(Change.AtSeconds));
  }
  const instant Since =
      Start + std::chrono::seconds(Row->AskedAtSeconds - Row->PeriodSeconds);
  cr_assert(History.ledOnlyTo("s", "h", "/a/b/c", Since) == Row->LedOnlyToS,
            "%s", Row->Name);
}

Test(routing_history, keeps_a_bounded_number_of_configurations) {
  routing_history History;
  const change Change{0, {"s", ""}, "/a/"};
  for (std::size_t Count = 0; Count <= routing_history::MaxTables; ++Count)
    History.onInForce(tableOf(Change, Count + 1),
                      Start + Count * std::chrono::seconds(1));
  cr_assert(!History.ledOnlyTo("s", "h", "/a/b", Start));
  cr_assert(History.ledOnlyTo("s", "h", "/a/b", Start + 1s));
}

Test(routing_history, knows_nothing_of_the_time_before_a_gap) {
  routing_history History;
  const change Change{0, {"s", ""}, "/a/"};
  History.onInForce(tableOf(Change, 1), Start);
  History.onGap();
  cr_assert(!History.ledOnlyTo("s", "h", "/a/b", Start + 5s));
  History.onInForce(tableOf(Change, 3), Start + 10s);
  cr_assert(!History.ledOnlyTo("s", "h", "/a/b", Start + 5s));
  cr_assert(History.ledOnlyTo("s", "h", "/a/b", Start + 10s));
}

Test(routing_history, knows_the_longest_timeout_of_late) {
  routing_history History;
  int Seconds = 0;
  for (const auto Timeout : {4s, 9s, 1s}) {
    auto Table = std::make_shared<routing_table>();
    forward_route Route;
    Route.Host = "h";
    Route.Prefix = "/a/";
    Route.Timeout = Timeout;
    Table->Routes.push_back(Route);
    Table->index();
    History.onInForce(Table, Start + std::chrono::seconds(Seconds++));
  }
  cr_assert(History.longestTimeout("h", "/a/b") == 9s);
  cr_assert(History.longestTimeout("h", "/b/") == 0s);
}

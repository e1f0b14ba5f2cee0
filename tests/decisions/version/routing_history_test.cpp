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
        {90, {"s", ""}, "/a/"},
        None},
       100,
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

/// No stream has begun under a configuration that nobody has followed.
Test(routing_history, a_first_instance_knows_all_configurations) {
  routing_history History;
  const change ToS{0, {"s", ""}, "/a/"};
  History.onInForce(tableOf(ToS, 1), Start);
  cr_assert(!History.ledOnlyTo("s", "h", "/a/b", Start - 60s));
  History.onFirstInstance();
  cr_assert(History.ledOnlyTo("s", "h", "/a/b", Start - 60s));
  History.onInForce(tableOf({0, {"t", ""}, "/a/"}, 2), Start + 1s);
  cr_assert(!History.ledOnlyTo("t", "h", "/a/b", Start - 60s));
}

Test(routing_history, a_first_instance_does_not_know_what_it_missed) {
  const change Change{0, {"s", ""}, "/a/"};
  routing_history Gap;
  Gap.onFirstInstance();
  Gap.onInForce(tableOf(Change, 1), Start);
  Gap.onGap();
  Gap.onInForce(tableOf(Change, 3), Start + 10s);
  cr_assert(!Gap.ledOnlyTo("s", "h", "/a/b", Start));
  routing_history Dropped;
  Dropped.onFirstInstance();
  for (std::size_t Count = 0; Count <= routing_history::MaxTables; ++Count)
    Dropped.onInForce(tableOf(Change, Count + 1),
                      Start + Count * std::chrono::seconds(1));
  cr_assert(!Dropped.ledOnlyTo("s", "h", "/a/b", Start));
}

/// A peer that has started earlier knows what was in force before.
Test(routing_history, learns_from_a_peer_since_when_it_knows_all) {
  const change ToT{0, {"t", ""}, "/a/"};
  const change ToS{0, {"s", ""}, "/a/"};
  routing_history Peer;
  Peer.onFirstInstance();
  Peer.onInForce(tableOf(ToT, 1), Start);
  Peer.onInForce(tableOf(ToS, 2), Start + 10s);
  Peer.onInForce(tableOf(ToS, 4), Start + 20s);
  cr_assert(Peer.noneBefore(1) == instant::min());
  cr_assert(Peer.noneBefore(2) == Start + 10s);
  cr_assert(Peer.noneBefore(3) == Start + 20s);
  cr_assert(!Peer.noneBefore(5));
  routing_history Later;
  Later.onInForce(tableOf(ToS, 3), Start + 19s);
  Later.onPeerKnows(2, Start + 10s);
  cr_assert(!Later.ledOnlyTo("s", "h", "/a/b", Start + 10s));
  Later.onPeerKnows(3, Start + 11s);
  cr_assert(Later.ledOnlyTo("s", "h", "/a/b", Start + 11s));
  cr_assert(!Later.ledOnlyTo("s", "h", "/a/b", Start + 10s));
}

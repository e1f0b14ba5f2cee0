// Tests that the soak's check of named limits counts what the rule counts.
#include "soak/limit_checker.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <utility>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct rate_row {
  char Name[32];
  double PerSecond; ///< named from 10 s on
  double Sent;      ///< requests a second
  bool Told;
  bool Faulted;
  double ChangedTo; ///< from 16 s on
  bool Violation;
};

} // namespace

ParameterizedTestParameters(limit_checker, counts_what_the_rule_counts) {
  static rate_row Rows[] = {
      {"within", 2, 2, true, false, 2, false},
      {"within the tolerance", 2, 4, true, false, 2, false},
      {"too many", 2, 4.8, true, false, 2, true},
      {"none allowed", 0, 2, true, false, 0, true},
      {"never told", 2, 20, false, false, 2, false},
      {"faulted", 2, 20, true, true, 2, false},
      {"lowered", 8, 8, true, false, 2, true},
      {"raised", 2, 3, true, false, 8, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(rate_row *Row, limit_checker, counts_what_the_rule_counts) {
  limit_checker Checker;
  Checker.onLimit("u", Row->PerSecond, instant(10s));
  if (Row->Told)
    Checker.onPassedOn("u", 0, instant(10s));
  if (Row->Faulted)
    Checker.onGatewayFault(0, instant(30s));
  bool Changed = false;
  for (double At = 10; At < 24; At += 1 / Row->Sent) {
    if (At >= 16 && !std::exchange(Changed, true))
      Checker.onLimit("u", Row->ChangedTo, instant(16s));
    Checker.onArrival("u", 0, instant() + fromSeconds(At));
  }
  cr_assert(Checker.violations().empty() != Row->Violation, "%s", Row->Name);
}

/// What arrived while there was no limit does not count for the next one.
Test(limit_checker, counts_nothing_between_two_limits) {
  limit_checker Checker;
  Checker.onLimit("u", 2, instant(10s));
  Checker.onPassedOn("u", 0, instant(10s));
  Checker.onLimit("u", std::nullopt, instant(14s));
  for (int Arrival = 0; Arrival < 100; ++Arrival)
    Checker.onArrival("u", 0, instant(15s));
  Checker.onLimit("u", 2, instant(16s));
  Checker.onPassedOn("u", 0, instant(16s));
  Checker.onArrival("u", 0, instant(18900ms));
  Checker.onArrival("u", 0, instant(19100ms));
  cr_assert(Checker.violations().empty());
}

/// Arrivals that were only read together do not count as a burst, and stalls
/// elsewhere excuse nothing.
Test(limit_checker, allows_for_its_own_stalls_only) {
  for (const bool InWindow : {true, false}) {
    limit_checker Checker;
    Checker.onLimit("u", 2, instant(10s));
    Checker.onPassedOn("u", 0, instant(10s));
    Checker.onStall(5s, instant(InWindow ? 20s : 90s));
    for (int Arrival = 0; Arrival < 30; ++Arrival)
      Checker.onArrival("u", 0, instant(20s));
    cr_assert(Checker.violations().empty() == InWindow);
  }
}

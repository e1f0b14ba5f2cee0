// Limits that each instance enforces on its own must hold for the whole fleet.
#include "decisions/process/fleet_retry_budget.h"
#include "decisions/process/freshness.h"
#include "decisions/process/instance_roster.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct budget_row {
  std::size_t Instances;
  double FailureFraction;
  unsigned Seed;
};

} // namespace

ParameterizedTestParameters(fleet_retry_budget, holds_in_every_sliding_window) {
  static budget_row Rows[] = {{1, 0.5, 1}, {8, 1.0, 2},  {8, 0.3, 3},
                              {9, 1.0, 4}, {59, 1.0, 5}, {86, 0.8, 6}};
  return criterion_test_params(Rows);
}

/// Requests fail at random and are retried while the budget allows it. The
/// check counts requests and retries of all instances in the window before each
/// retry.
ParameterizedTest(budget_row *Row, fleet_retry_budget,
                  holds_in_every_sliding_window) {
  const retry_options Options{0.2, 56, 10s};
  std::vector<fleet_retry_budget> Fleet(Row->Instances);
  std::mt19937 Random(Row->Seed);
  std::uniform_real_distribution<double> Chance(0, 1);
  std::uniform_int_distribution<std::size_t> AnyInstance(0, Row->Instances - 1);
  std::vector<instant> Requests;
  std::vector<instant> Retries;
  for (instant Now; Now < instant(40s); Now += 10ms) {
    // A burst from 15 s to 20 s, and no requests after 30 s.
    const bool Burst = Now > instant(15s) && Now < instant(20s);
    const int Arrivals = Now > instant(30s) ? 0 : Burst ? 4 : 1;
    for (int Index = 0; Index < Arrivals; ++Index) {
      fleet_retry_budget &Instance = Fleet[AnyInstance(Random)];
      Instance.onRequest(Now, Options);
      Requests.push_back(Now);
      while (Chance(Random) < Row->FailureFraction &&
             Instance.take(Now, Options, Row->Instances))
        Retries.push_back(Now);
    }
  }
  const auto CountIn = [](const std::vector<instant> &Times, instant From,
                          instant To) {
    return std::ranges::upper_bound(Times, To) -
           std::ranges::lower_bound(Times, From);
  };
  cr_assert(!Retries.empty());
  for (const instant End : Retries) {
    const auto RetryCount = CountIn(Retries, End - 10s, End);
    const double Allowed =
        Options.Ratio * static_cast<double>(CountIn(Requests, End - 10s, End)) +
        Options.Slack;
    cr_assert(static_cast<double>(RetryCount) <= Allowed,
              "%td retries, %.0f allowed", RetryCount, Allowed);
  }
}

Test(instance_roster,
     instance_without_presence_counts_until_it_stops_spending) {
  instance_roster Roster("a");
  const instant Started(0s);
  for (const char *Name : {"a", "b", "c"}) {
    Roster.putEntry(Name, {"127.0.0.1", 1, "d"}, instant(0s));
    Roster.putPresence(Name, instant(0s));
  }
  cr_assert(Roster.quotaShareCount(instant(20s), Started) == 3);
  Roster.removePresence("b", instant(20s));
  cr_assert(Roster.quotaShareCount(instant(25s), Started) == 3);
  cr_assert(Roster.quotaShareCount(instant(26s), Started) == 2);
  cr_assert(Roster.peers().size() == 1);
}

Test(instance_roster, restart_of_the_fleet_does_not_enlarge_quota_shares) {
  // Entries have persisted, presences have expired with their leases.
  instance_roster Roster("a");
  for (const char *Name : {"a", "b", "c", "d"})
    Roster.putEntry(Name, {"127.0.0.1", 1, "x"}, instant(100s));
  Roster.putPresence("a", instant(100s));
  cr_assert(Roster.quotaShareCount(instant(101s), instant(100s)) == 4);
  cr_assert(Roster.quotaShareCount(instant(109s), instant(100s)) == 1);
  cr_assert(Roster.staleEntries(instant(129s)).empty());
  cr_assert(Roster.staleEntries(instant(131s)).size() == 3);
}

Test(freshness, a_restored_store_confirms_nothing_until_operators_wrote) {
  freshness Freshness;
  freshness_options Options;
  Options.RewriteTime = 2s;
  Freshness.onRead(instant(10s));
  Freshness.onRestored(instant(11s), Options);
  Freshness.onRead(instant(12s));
  cr_assert(Freshness.age(instant(12s)) == 2s);
  Freshness.onRead(instant(13s));
  cr_assert(Freshness.age(instant(13s)) == 0s);
  Freshness.onRestored(instant(14s), Options);
  Freshness.onWrittenAgain();
  Freshness.onRead(instant(14500ms));
  cr_assert(Freshness.age(instant(15s)) == 500ms);
}

Test(freshness, age_counts_from_when_the_read_was_sent) {
  freshness Freshness;
  const freshness_options Options;
  cr_assert(!Freshness.isFreshForKeys(instant(0s), Options));
  cr_assert(!Freshness.isFreshForAbsence(instant(0s), Options));
  Freshness.onRead(instant(10s));
  // A late response to an earlier read does not change the age.
  Freshness.onRead(instant(8s));
  cr_assert(Freshness.isFreshForKeys(instant(14600ms), Options));
  cr_assert(!Freshness.isFreshForKeys(instant(14700ms), Options));
  cr_assert(Freshness.isFreshForAbsence(instant(12400ms), Options));
  cr_assert(!Freshness.isFreshForAbsence(instant(12500ms), Options));
}

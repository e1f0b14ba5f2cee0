// What every instance counts for itself must hold for the sum over the fleet.
#include "decisions/process/evidence.h"
#include "decisions/process/instance_roster.h"
#include "decisions/process/retry_allowance.h"

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
  double FailurePart;
  unsigned Seed;
};

} // namespace

ParameterizedTestParameters(retry_allowance, holds_in_every_sliding_window) {
  static budget_row Rows[] = {{1, 0.5, 1}, {8, 1.0, 2},  {8, 0.3, 3},
                              {9, 1.0, 4}, {59, 1.0, 5}, {86, 0.8, 6}};
  return criterion_test_params(Rows);
}

/// Each request fails with a chance and is repeated while the budget allows it.
/// The oracle counts over the merged record, at every repeat.
ParameterizedTest(budget_row *Row, retry_allowance,
                  holds_in_every_sliding_window) {
  const retry_terms Terms{0.2, 56, 10s};
  std::vector<retry_allowance> Fleet(Row->Instances);
  std::mt19937 Random(Row->Seed);
  std::uniform_real_distribution<double> Chance(0, 1);
  std::uniform_int_distribution<std::size_t> Who(0, Row->Instances - 1);
  std::vector<instant> Requests;
  std::vector<instant> Repeats;
  for (instant Now; Now < instant(40s); Now += 10ms) {
    // A burst in the middle, then silence.
    const bool Burst = Now > instant(15s) && Now < instant(20s);
    const int Arrivals = Now > instant(30s) ? 0 : Burst ? 4 : 1;
    for (int Index = 0; Index < Arrivals; ++Index) {
      retry_allowance &Instance = Fleet[Who(Random)];
      Instance.onRequest(Now, Terms);
      Requests.push_back(Now);
      while (Chance(Random) < Row->FailurePart &&
             Instance.take(Now, Terms, Row->Instances))
        Repeats.push_back(Now);
    }
  }
  const auto CountIn = [](const std::vector<instant> &Times, instant From,
                          instant To) {
    return std::ranges::upper_bound(Times, To) -
           std::ranges::lower_bound(Times, From);
  };
  cr_assert(!Repeats.empty());
  for (const instant End : Repeats) {
    const auto Repeated = CountIn(Repeats, End - 10s, End);
    const double Allowed =
        Terms.Ratio * static_cast<double>(CountIn(Requests, End - 10s, End)) +
        Terms.Slack;
    cr_assert(static_cast<double>(Repeated) <= Allowed,
              "%td repeats, %.0f allowed", Repeated, Allowed);
  }
}

Test(instance_roster, a_cut_off_instance_counts_until_it_stops_spending) {
  instance_roster Roster("a");
  const instant Started(0s);
  for (const char *Name : {"a", "b", "c"}) {
    Roster.putEntry(Name, {"127.0.0.1", 1, "d"}, instant(0s));
    Roster.putMark(Name, instant(0s));
  }
  cr_assert(Roster.sharers(instant(20s), Started) == 3);
  Roster.removeMark("b", instant(20s));
  cr_assert(Roster.sharers(instant(25s), Started) == 3);
  cr_assert(Roster.sharers(instant(26s), Started) == 2);
  cr_assert(Roster.peers().size() == 1);
}

Test(instance_roster, after_a_restart_of_all_nobody_takes_more_than_its_part) {
  // The lasting entries are there, the marks ended with the leases.
  instance_roster Roster("a");
  for (const char *Name : {"a", "b", "c", "d"})
    Roster.putEntry(Name, {"127.0.0.1", 1, "x"}, instant(100s));
  Roster.putMark("a", instant(100s));
  cr_assert(Roster.sharers(instant(101s), instant(100s)) == 4);
  cr_assert(Roster.sharers(instant(109s), instant(100s)) == 1);
  cr_assert(Roster.forgotten(instant(129s)).empty());
  cr_assert(Roster.forgotten(instant(131s)).size() == 3);
}

Test(evidence, age_counts_from_when_the_read_was_sent) {
  evidence Proof;
  const evidence_terms Terms;
  cr_assert(!Proof.coversKeys(instant(0s), Terms));
  cr_assert(!Proof.coversAbsence(instant(0s), Terms));
  Proof.onRead(instant(10s));
  // A slow answer to an older read proves nothing newer.
  Proof.onRead(instant(8s));
  cr_assert(Proof.coversKeys(instant(14600ms), Terms));
  cr_assert(!Proof.coversKeys(instant(14700ms), Terms));
  cr_assert(Proof.coversAbsence(instant(12400ms), Terms));
  cr_assert(!Proof.coversAbsence(instant(12500ms), Terms));
}

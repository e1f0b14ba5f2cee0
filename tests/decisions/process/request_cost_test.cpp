// Learned costs: hierarchy, bounds, odd values and summaries of peers.
#include "decisions/process/first_chunk_model.h"
#include "decisions/process/learned_costs.h"
#include "decisions/process/upstream_speed.h"
#include "decisions/process/upstream_work.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cmath>
#include <limits>
#include <random>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

cost_attributes requestOf(const std::string &Team) {
  return {"s", "r", Team, 1000};
}

bool isNear(double Value, double Expected) {
  constexpr double Tolerance = 0.15;
  return std::abs(Value - Expected) <= Tolerance * Expected;
}

struct request_row {
  char Name[24];
  char Route[8];
  char Team[8];
  double Tokens;
  double ExpectedMs;
};

} // namespace

ParameterizedTestParameters(request_costs, falls_back_to_parents) {
  static request_row Rows[] = {
      {"known team", "r", "cheap", 1000, 10},
      {"other known team", "r", "dear", 1000, 100},
      {"unknown team", "r", "new", 1000, 55},
      {"unknown size", "r", "cheap", 1e6, 55},
      {"unknown route", "new", "cheap", 1000, 55},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(request_row *Row, request_costs, falls_back_to_parents) {
  request_costs Costs;
  for (int Index = 0; Index < 100; ++Index) {
    Costs.onServed(requestOf("cheap"), 10);
    Costs.onServed(requestOf("dear"), 100);
  }
  const auto Cost = Costs.expect({"s", Row->Route, Row->Team, Row->Tokens});
  cr_assert(Cost && isNear(Cost->MeanMs, Row->ExpectedMs), "%s: %.1f",
            Row->Name, Cost ? Cost->MeanMs : -1);
  cr_assert(!Costs.expect({"other", "r", "cheap", 1000}));
}

/// A team that sends 50 times as much does not set what others are expected to
/// cost.
Test(request_costs, one_team_does_not_skew_the_others) {
  request_costs Costs;
  for (int Round = 0; Round < 40; ++Round) {
    for (int Index = 0; Index < 50; ++Index)
      Costs.onServed(requestOf("large"), 1000);
    for (const char *Team : {"a", "b", "c", "d"})
      Costs.onServed(requestOf(Team), 10);
  }
  cr_assert(Costs.expect(requestOf("new"))->MedianMs < 20, "%.1f",
            Costs.expect(requestOf("new"))->MedianMs);
}

Test(request_costs, odd_values_do_not_move_the_expectation) {
  request_costs Costs;
  for (int Index = 0; Index < 200; ++Index)
    Costs.onServed(requestOf("a"), 20);
  constexpr double Nan = std::numeric_limits<double>::quiet_NaN();
  constexpr double Infinity = std::numeric_limits<double>::infinity();
  for (const double Odd : {Nan, Infinity, -5.0, 1e300, 3'000'000.0})
    Costs.onServed(requestOf("a"), Odd);
  cr_assert(isNear(Costs.expect(requestOf("a"))->MeanMs, 20), "%.1f",
            Costs.expect(requestOf("a"))->MeanMs);
}

Test(request_costs, follows_a_change_and_stays_bounded) {
  request_costs Costs;
  for (int Index = 0; Index < 400; ++Index)
    Costs.onServed(requestOf("a"), 20);
  for (int Index = 0; Index < 800; ++Index)
    Costs.onServed(requestOf("a"), 60);
  cr_assert(isNear(Costs.expect(requestOf("a"))->MedianMs, 60));
  for (int Index = 0; Index < 10'000; ++Index)
    Costs.onServed(requestOf(std::to_string(Index)), 60);
  cr_assert(Costs.size() == request_costs::MaxEntries);
}

Test(request_costs, a_new_instance_uses_what_peers_know) {
  request_costs Known;
  for (int Index = 0; Index < 100; ++Index)
    Known.onServed(requestOf("a"), Index % 5 == 0 ? 200 : 20);
  const auto Told = Known.takeSummaries();
  cr_assert(Told.size() == 1);
  cr_assert(Known.takeSummaries().empty(), "told once");
  request_costs New;
  New.onPeerSummary(Told[0]);
  const auto Cost = New.expect(requestOf("b"));
  cr_assert(Cost && Cost->MedianMs < 30 && Cost->MeanMs > 30);
  cr_assert(New.takeSummaries().empty(), "not passed on");
  // Own values are not replaced.
  cost_summary Odd = Told[0];
  Odd.Cost.MedianMs = 5000;
  Odd.Cost.HighMs = 5000;
  Known.onPeerSummary(Odd);
  cr_assert(Known.expect(requestOf("a"))->MedianMs < 30);
  Odd.Cost.HighMs = -1;
  request_costs Other;
  Other.onPeerSummary(Odd);
  cr_assert(!Other.expect(requestOf("a")));
}

/// Responses wait somewhere most of the time, and a tenth for very long.
Test(first_chunk_model, finds_the_rates_of_engines_that_queue) {
  std::mt19937 Random(5);
  std::exponential_distribution<double> Wait(1.0 / 15);
  std::uniform_int_distribution<int> Tenth(0, 9);
  first_chunk_model Model({80, 41});
  cr_assert(Model.rates(0.1).PrefillTokensPerMs == 80);
  for (int Index = 0; Index < 600; ++Index) {
    const double Tokens = Index % 2 == 0 ? 628 : 2890;
    const double Ms = 12 + Tokens / 44 + Wait(Random);
    Model.onFirstChunk(Tokens, 0.1, Tenth(Random) == 0 ? 2000 : Ms);
  }
  const first_chunk_rates &Rates = Model.rates(0.1);
  cr_assert(isNear(Rates.PrefillTokensPerMs, 44), "%.1f",
            Rates.PrefillTokensPerMs);
  cr_assert(Rates.FirstTokenMs > 10 && Rates.FirstTokenMs < 20, "%.1f",
            Rates.FirstTokenMs);
  cr_assert(Model.rates(0.9).FirstTokenMs == Rates.FirstTokenMs,
            "unknown occupancy");
}

Test(upstream_speed, follows_responses_and_forgets) {
  upstream_speed Speed;
  std::mt19937 Random(5);
  std::lognormal_distribution<double> Spread(0, 0.8);
  instant Now(1s);
  for (int Index = 0; Index < 150; ++Index) {
    Now += 50ms;
    Speed.onObserved(30 * 2 * Spread(Random), 30, Now);
  }
  cr_assert(Speed.learned(Now) > 1.4 && Speed.learned(Now) < 2.8, "%.2f",
            Speed.learned(Now));
  cr_assert(std::abs(Speed.learned(Now + 200s) - 1) < 0.01);
}

Test(upstream_speed, a_stated_figure_counts_while_it_is_fresh) {
  upstream_speed Speed;
  for (int Index = 0; Index < 50; ++Index)
    Speed.onStated(100, instant(1s) + Index * 10ms);
  Speed.onStated(300, instant(2s));
  cr_assert(isNear(Speed.slowness(instant(2s)), 3));
  cr_assert(Speed.slowness(instant(4s)) < 1.3);
  for (const std::int64_t Odd : {std::int64_t{0}, std::int64_t{-7},
                                 std::numeric_limits<std::int64_t>::max()})
    Speed.onStated(Odd, instant(5s));
  Speed.onStated(900, instant(1s));
  cr_assert(Speed.slowness(instant(5s)) < 1.3, "odd or older");
  Speed.onStated(9999, instant(6s));
  cr_assert(Speed.slowness(instant(6s)) <= upstream_speed::MaxSlowness);
  // What is stated is not learned as well.
  upstream_speed Stated;
  for (int Index = 0; Index < 100; ++Index) {
    Stated.onStated(200, instant(1s) + Index * 10ms);
    Stated.onObserved(60, 30, instant(1s) + Index * 10ms);
  }
  cr_assert(isNear(Stated.slowness(instant(2s)), 2));
}

Test(upstream_work, counts_the_expected_rest) {
  upstream_work Work;
  Work.onSent(1, 100, instant(1s));
  Work.onSent(2, 400, instant(1s));
  cr_assert(Work.restMs(1, instant(1s)) == 500);
  cr_assert(Work.restMs(0.5, instant(1100ms)) == 400);
  cr_assert(Work.restMs(1, instant(9s)) == 100, "past its expected time");
  Work.onEnded(1);
  Work.onEnded(7);
  cr_assert(Work.restMs(1, instant(1s)) == 400);
}

Test(learned_costs, are_used_once_an_upstream_states_its_slowness) {
  for (const cost_learning Mode :
       {cost_learning::Off, cost_learning::Stated, cost_learning::On}) {
    learned_costs Costs(Mode, {80, 41});
    service_costs &Service = *Costs.service("s");
    cr_assert(Service.isUsed() == (Mode == cost_learning::On));
    Costs.onSlownessStated(Service);
    cr_assert(Service.isUsed() == (Mode != cost_learning::Off));
    cr_assert(!Costs.service("t")->isUsed() || Mode == cost_learning::On);
  }
  learned_costs Costs(cost_learning::On, {80, 41});
  for (std::size_t Index = 0; Index < learned_costs::MaxServices; ++Index)
    cr_assert(Costs.service(std::to_string(Index)));
  cr_assert(!Costs.service("one more"));
  Costs.onPeerRates({"0", {45, 12}, 500});
  cr_assert(Costs.service("0")->rates(0.5).PrefillTokensPerMs == 45);
  Costs.onPeerRates({"1", {0, -3}, 500});
  cr_assert(Costs.service("1")->rates(0.5).PrefillTokensPerMs == 80);
}

#include "load/limit_simulation.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;

namespace {

/// Largest excess, in tokens, that floating-point rounding can cause.
constexpr double RoundingTokens = 0.01;

constexpr std::uint64_t Seeds = 3;

struct simulation_row {
  std::size_t Scenario;
  std::uint64_t Seed;
};

} // namespace

ParameterizedTestParameters(limit_simulation, sum_stays_within_rate_and_burst) {
  static simulation_row Rows[LimitScenarioCount * Seeds];
  std::size_t Count = 0;
  for (std::size_t Scenario = 0; Scenario < LimitScenarioCount; ++Scenario)
    for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed)
      Rows[Count++] = {Scenario, Seed};
  return criterion_test_params(Rows);
}

ParameterizedTest(simulation_row *Row, limit_simulation,
                  sum_stays_within_rate_and_burst) {
  const limit_scenario &Scenario = limitScenarios()[Row->Scenario];
  const limit_simulation_result Result =
      runLimitSimulation(Scenario, limit_method::Shares, Row->Seed);
  cr_assert(Result.Requests > 1000);
  cr_assert(Result.WorstOverspend <= RoundingTokens,
            "%s, seed %zu: %f tokens over", Scenario.Name.data(),
            static_cast<std::size_t>(Row->Seed), Result.WorstOverspend);
}

Test(limit_simulation, oracle_detects_an_overspending_allocator) {
  // This baseline still spends chunks that were drawn before the rates were
  // halved, so the oracle has to find an overspend.
  const limit_scenario &Scenario = limitScenarios().back();
  cr_assert(Scenario.Name == "rates halved");
  cr_assert(runLimitSimulation(Scenario, limit_method::StoreChunks, 1)
                .WorstOverspend > RoundingTokens);
}

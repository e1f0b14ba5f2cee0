#include "load/limit_trial.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;

namespace {

/// Excess that rounding of binary fractions can explain, in tokens.
constexpr double RoundingTokens = 0.01;

constexpr std::uint64_t Seeds = 3;

struct trial_row {
  std::size_t Cell;
  std::uint64_t Seed;
};

} // namespace

ParameterizedTestParameters(limit_trial, sum_stays_within_rate_and_burst) {
  static trial_row Rows[TrialCellCount * Seeds];
  std::size_t Count = 0;
  for (std::size_t Cell = 0; Cell < TrialCellCount; ++Cell)
    for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed)
      Rows[Count++] = {Cell, Seed};
  return criterion_test_params(Rows);
}

ParameterizedTest(trial_row *Row, limit_trial,
                  sum_stays_within_rate_and_burst) {
  const trial_cell &Cell = trialCells()[Row->Cell];
  const trial_outcome Outcome =
      runLimitTrial(Cell, limit_method::Shares, Row->Seed);
  cr_assert(Outcome.Requests > 1000);
  cr_assert(Outcome.WorstOverspend <= RoundingTokens,
            "%s, seed %zu: %f tokens over", Cell.Name.data(),
            static_cast<std::size_t>(Row->Seed), Outcome.WorstOverspend);
}

Test(limit_trial, oracle_sees_an_allocator_that_overspends) {
  // Chunks drawn before rates are halved are still spent afterwards, so this
  // baseline must be caught.
  const trial_cell &Cell = trialCells().back();
  cr_assert(Cell.Name == "rates halved");
  cr_assert(runLimitTrial(Cell, limit_method::StoreChunks, 1).WorstOverspend >
            RoundingTokens);
}

#include "bench/limit_bench.h"

#include "load/limit_trial.h"

#include <algorithm>
#include <array>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::array<std::uint64_t, 5> Seeds{1, 2, 3, 4, 5};

trial_outcome sumOverSeeds(const trial_cell &Cell, limit_method Method) {
  trial_outcome Sum;
  for (const std::uint64_t Seed : Seeds) {
    const trial_outcome One = runLimitTrial(Cell, Method, Seed);
    Sum.Requests += One.Requests;
    Sum.Refused += One.Refused;
    Sum.Wrongful += One.Wrongful;
    Sum.Unavoidable += One.Unavoidable;
    Sum.OthersWrongful += One.OthersWrongful;
    Sum.WorstOverspend = std::max(Sum.WorstOverspend, One.WorstOverspend);
    Sum.Messages += One.Messages;
    Sum.StoreCalls += One.StoreCalls;
    Sum.Seconds += One.Seconds;
  }
  return Sum;
}

/// Most wrongful refusals in percent of all requests; from the issue that set
/// the limits' goals, not from what was measured.
constexpr double CalmGoalPercent = 0;
constexpr double OtherGoalPercent = 0.5;

bool meetsGoal(const trial_cell &Cell, const trial_outcome &Outcome) {
  const bool IsStrict = Cell.Name == "calm" || Cell.Name == "single crash";
  return Outcome.wrongfulPercent() <=
         (IsStrict ? CalmGoalPercent : OtherGoalPercent);
}

} // namespace

void runLimitBench(std::ostream &Out) {
  Out << "seeds 1 to 5, sums; wrongful % is of all requests, above the "
         "unavoidable part\n";
  Out << fmt::format(
      "{:<17}{:<8}{:>9}{:>9}{:>10}{:>8}{:>9}{:>8}{:>10}{:>8}{:>6}\n", "cell",
      "method", "requests", "refused", "wrongful", "unavoid", "wrong %",
      "others", "overspend", "msg/s", "goal");
  constexpr std::array<std::pair<limit_method, const char *>, 3> Methods{{
      {limit_method::Shares, "shares"},
      {limit_method::StaticSplit, "static"},
      {limit_method::StoreChunks, "chunks"},
  }};
  for (const trial_cell &Cell : trialCells())
    for (const auto &[Method, Name] : Methods) {
      const trial_outcome Sum = sumOverSeeds(Cell, Method);
      const auto Messages = static_cast<double>(Sum.Messages + Sum.StoreCalls);
      Out << fmt::format("{:<17}{:<8}{:>9}{:>9}{:>10}{:>8}{:>9.3f}{:>8}{:>10."
                         "0f}{:>8.1f}{:>6}\n",
                         Cell.Name, Name, Sum.Requests, Sum.Refused,
                         Sum.Wrongful, Sum.Unavoidable, Sum.wrongfulPercent(),
                         Sum.OthersWrongful, Sum.WorstOverspend,
                         Messages / Sum.Seconds,
                         meetsGoal(Cell, Sum) ? "met" : "red");
    }
}

} // namespace ebonyvale

#include "bench/limit_bench.h"

#include "load/limit_simulation.h"

#include <algorithm>
#include <array>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::array<std::uint64_t, 5> Seeds{1, 2, 3, 4, 5};

/// Sums the results over all seeds; `WorstOverspend` is the maximum.
limit_simulation_result sumOverSeeds(const limit_scenario &Scenario,
                                     limit_method Method) {
  limit_simulation_result Sum;
  for (const std::uint64_t Seed : Seeds) {
    const limit_simulation_result PerSeed =
        runLimitSimulation(Scenario, Method, Seed);
    Sum.Requests += PerSeed.Requests;
    Sum.Refused += PerSeed.Refused;
    Sum.Wrongful += PerSeed.Wrongful;
    Sum.Unavoidable += PerSeed.Unavoidable;
    Sum.OthersWrongful += PerSeed.OthersWrongful;
    Sum.WorstOverspend = std::max(Sum.WorstOverspend, PerSeed.WorstOverspend);
    Sum.Messages += PerSeed.Messages;
    Sum.StoreCalls += PerSeed.StoreCalls;
    Sum.Seconds += PerSeed.Seconds;
  }
  return Sum;
}

/// Goals for avoidable wrongful refusals, in percent of all requests. They come
/// from the issue that specifies the limits, not from measurements.
constexpr double StrictGoalPercent = 0;
constexpr double OtherGoalPercent = 0.5;

bool meetsGoal(const limit_scenario &Scenario,
               const limit_simulation_result &Result) {
  const bool IsStrict =
      Scenario.Name == "calm" || Scenario.Name == "single crash";
  return Result.wrongfulPercent() <=
         (IsStrict ? StrictGoalPercent : OtherGoalPercent);
}

} // namespace

void runLimitBench(std::ostream &Out) {
  Out << "seeds 1 to 5, sums; wrong % is the percentage of requests refused "
         "wrongfully and avoidably\n";
  Out << fmt::format(
      "{:<17}{:<8}{:>9}{:>9}{:>10}{:>8}{:>9}{:>8}{:>10}{:>8}{:>6}\n", "cell",
      "method", "requests", "refused", "wrongful", "unavoid", "wrong %",
      "others", "overspend", "msg/s", "goal");
  constexpr std::array<std::pair<limit_method, const char *>, 3> Methods{{
      {limit_method::Shares, "shares"},
      {limit_method::StaticSplit, "static"},
      {limit_method::StoreChunks, "chunks"},
  }};
  for (const limit_scenario &Scenario : limitScenarios())
    for (const auto &[Method, Name] : Methods) {
      const limit_simulation_result Sum = sumOverSeeds(Scenario, Method);
      const auto Messages = static_cast<double>(Sum.Messages + Sum.StoreCalls);
      Out << fmt::format("{:<17}{:<8}{:>9}{:>9}{:>10}{:>8}{:>9.3f}{:>8}{:>10."
                         "0f}{:>8.1f}{:>6}\n",
                         Scenario.Name, Name, Sum.Requests, Sum.Refused,
                         Sum.Wrongful, Sum.Unavoidable, Sum.wrongfulPercent(),
                         Sum.OthersWrongful, Sum.WorstOverspend,
                         Messages / Sum.Seconds,
                         meetsGoal(Scenario, Sum) ? "met" : "red");
    }
}

} // namespace ebonyvale

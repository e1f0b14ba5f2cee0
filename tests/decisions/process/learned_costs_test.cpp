// Placement by learned costs and speeds, against other policies.
#include "decisions/process/fleet_simulation.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

struct uneven_row {
  char Name[32];
  simulated_load Load;
};

struct policy_result {
  double InTime = 0; ///< share of all requests, refused ones too
  double MedianMs = 0;
  double HighMs = 0; ///< 99th percentile
};

policy_result playLoad(simulation_policy Policy, simulated_load Load,
                       cost_learning Learning = cost_learning::Off) {
  Load.SchedulerOptions.Learning = Learning;
  simulation_result Result = simulateFleet(Policy, Load);
  return {static_cast<double>(Result.OnTime) /
              static_cast<double>(Result.PromptCount),
          Result.firstMs(0.5), Result.firstMs(0.99)};
}

constexpr simulated_load PlainLoad{.Instances = 8,
                                   .Engines = 12,
                                   .Length = 20s,
                                   .Slots = 4,
                                   .IsPlain = true,
                                   .ServiceMs = 15,
                                   .Target = 300ms,
                                   .HeavyFraction = 0.2};
/// The engines' rates differ from the configured ones.
constexpr simulated_load EngineLoad{.Instances = 8,
                                    .Engines = 12,
                                    .Length = 20s,
                                    .Documents = 60,
                                    .Slots = 8,
                                    .ServiceMs = 30,
                                    .OwnTokens = 400,
                                    .LongTokensFactor = 4,
                                    .PrefillTokensPerMs = 44.2,
                                    .FirstTokenMs = 12,
                                    .Target = 400ms,
                                    .HeavyFraction = 0.2};

simulated_load withRate(simulated_load Load, double PerSecond,
                        double MaxSlowness, bool StatesLoad = false) {
  Load.PerSecond = PerSecond;
  Load.MaxSlowness = MaxSlowness;
  Load.StatesLoad = StatesLoad;
  return Load;
}

} // namespace

ParameterizedTestParameters(learned_costs, beats_the_configured_costs) {
  static uneven_row Rows[] = {
      {"plain, speeds 1.3", withRate(PlainLoad, 850, 1.3)},
      {"plain, speeds 3", withRate(PlainLoad, 550, 3)},
      {"plain, speeds 3, stated", withRate(PlainLoad, 550, 3, true)},
      {"engines, speeds 1.3", withRate(EngineLoad, 150, 1.3)},
      {"engines, speeds 3", withRate(EngineLoad, 130, 3)},
      {"engines, speeds 3, stated", withRate(EngineLoad, 130, 3, true)},
  };
  return criterion_test_params(Rows);
}

/// Requests that look alike but for their team differ in cost by 10.
ParameterizedTest(uneven_row *Row, learned_costs, beats_the_configured_costs) {
  for (std::uint32_t Seed = 1; Seed <= 3; ++Seed) {
    simulated_load Load = Row->Load;
    Load.Seed = Seed;
    using policy = simulation_policy;
    const auto Learned = playLoad(policy::Scheduler, Load, cost_learning::On);
    const auto Configured = playLoad(policy::Scheduler, Load);
    const auto Robin = playLoad(policy::RoundRobin, Load);
    const auto Least = playLoad(policy::LeastLoaded, Load);
    const auto Oracle = playLoad(policy::Oracle, Load);
    const auto Print = [&](const char *Policy, const policy_result &Result) {
      cr_log_info("%s, seed %u, %s: in time %.3f, p50 %.0f ms, p99 %.0f ms",
                  Row->Name, Seed, Policy, Result.InTime, Result.MedianMs,
                  Result.HighMs);
    };
    Print("learned", Learned);
    Print("configured", Configured);
    Print("round robin", Robin);
    Print("least loaded", Least);
    Print("oracle", Oracle);
    cr_expect(Learned.InTime > Configured.InTime, "%s, seed %u: %.3f, %.3f",
              Row->Name, Seed, Learned.InTime, Configured.InTime);
    cr_expect(Learned.InTime > Robin.InTime, "%s, seed %u: %.3f, %.3f",
              Row->Name, Seed, Learned.InTime, Robin.InTime);
  }
}

#include "load/limit_scenarios.h"

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

std::vector<instance_fault> rollingRestart() {
  std::vector<instance_fault> Faults;
  for (std::size_t Index = 0; Index < SimulatedInstances; ++Index) {
    const span_ns From = 20s + 10s * static_cast<int>(Index);
    Faults.push_back({Index, {From, From + 500ms}});
  }
  return Faults;
}

std::vector<instance_fault> simultaneousRestart() {
  std::vector<instance_fault> Faults;
  for (std::size_t Index = 0; Index < SimulatedInstances; ++Index)
    Faults.push_back({Index, {60s, 60500ms}});
  return Faults;
}

} // namespace

const std::array<limit_scenario, LimitScenarioCount> &limitScenarios() {
  static const std::array<limit_scenario, LimitScenarioCount> Scenarios{{
      {.Name = "calm"},
      {.Name = "one instance",
       .Distribution = caller_distribution::OneInstance},
      {.Name = "one domain", .Distribution = caller_distribution::OneDomain},
      {.Name = "one team at 5x", .HotTeamFactor = 5},
      {.Name = "full rate", .Demand = 1.0},
      {.Name = "store out", .StoreOutage = {30s, 100s}},
      {.Name = "domain cut off", .Partition = {40s, 80s}},
      {.Name = "lost messages", .LossRate = 0.05},
      {.Name = "single crash", .Crashes = {{4, {60s, 75s}}}},
      {.Name = "each restarted", .Crashes = rollingRestart()},
      {.Name = "herd restart", .Crashes = simultaneousRestart()},
      {.Name = "paused instance", .Pauses = {{1, {50s, 55s}}}},
      {.Name = "rates halved", .HalvedRates = {50s, 80s}},
  }};
  return Scenarios;
}

} // namespace ebonyvale

#include "load/limit_cells.h"

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

std::vector<instance_event> rollingRestart() {
  std::vector<instance_event> Events;
  for (std::size_t Index = 0; Index < TrialInstances; ++Index) {
    const span_ns From = 20s + 10s * static_cast<int>(Index);
    Events.push_back({Index, {From, From + 500ms}});
  }
  return Events;
}

std::vector<instance_event> herdRestart() {
  std::vector<instance_event> Events;
  for (std::size_t Index = 0; Index < TrialInstances; ++Index)
    Events.push_back({Index, {60s, 60500ms}});
  return Events;
}

} // namespace

const std::array<trial_cell, TrialCellCount> &trialCells() {
  static const std::array<trial_cell, TrialCellCount> Cells{{
      {.Name = "calm"},
      {.Name = "one instance", .Spread = caller_spread::OneInstance},
      {.Name = "one domain", .Spread = caller_spread::OneDomain},
      {.Name = "one team at 5x", .HotTeamFactor = 5},
      {.Name = "full rate", .Demand = 1.0},
      {.Name = "store out", .StoreOut = {30s, 100s}},
      {.Name = "domain cut off", .DomainCut = {40s, 80s}},
      {.Name = "lost messages", .Loss = 0.05},
      {.Name = "single crash", .Crashes = {{4, {60s, 75s}}}},
      {.Name = "each restarted", .Crashes = rollingRestart()},
      {.Name = "herd restart", .Crashes = herdRestart()},
      {.Name = "paused instance", .Pauses = {{1, {50s, 55s}}}},
      {.Name = "rates halved", .LowerRates = {50s, 80s}},
  }};
  return Cells;
}

} // namespace ebonyvale

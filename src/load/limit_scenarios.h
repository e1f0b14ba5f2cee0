/// \file
/// Scenarios of the limit simulation.
#ifndef EBONYVALE_LOAD_LIMIT_SCENARIOS_H
#define EBONYVALE_LOAD_LIMIT_SCENARIOS_H

#include "common/instant.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// The simulated fleet has three failure domains of three instances each.
inline constexpr std::size_t SimulatedDomains = 3;
inline constexpr std::size_t SimulatedInstancesPerDomain = 3;
inline constexpr std::size_t SimulatedInstances =
    SimulatedDomains * SimulatedInstancesPerDomain;

/// Which instances receive the callers' requests.
enum class caller_distribution { Even, OneInstance, OneDomain };

/// A half-open range of virtual time.
struct time_window {
  span_ns From{0};
  span_ns To{0};
  bool contains(span_ns At) const { return At >= From && At < To; }
};

/// A fault that keeps one instance from running for some time.
struct instance_fault {
  std::size_t Instance = 0;
  time_window Window; ///< time during which it does not run
};

/// Load and faults of one simulation.
struct limit_scenario {
  std::string_view Name;
  caller_distribution Distribution = caller_distribution::Even;
  double Demand = 0.7; ///< offered load as a fraction of each team's rate
  double HotTeamFactor = 1.0; ///< multiplies `Demand` of the first team
  double LossRate = 0;        ///< fraction of the messages that are lost
  std::vector<instance_fault> Crashes;
  std::vector<instance_fault> Pauses;
  time_window Partition;   ///< the first domain is cut off from the rest
  time_window StoreOutage; ///< the platform's store is unavailable
  time_window HalvedRates; ///< all rates and bursts are halved
};

/// Number of scenarios.
inline constexpr std::size_t LimitScenarioCount = 13;

/// Returns all scenarios.
const std::array<limit_scenario, LimitScenarioCount> &limitScenarios();

} // namespace ebonyvale

#endif

/// \file
/// Simulates the limits on virtual time: a fleet of instances that exchange
/// delayed, lossy messages, with an oracle that checks every admission.
#ifndef EBONYVALE_LOAD_LIMIT_SIMULATION_H
#define EBONYVALE_LOAD_LIMIT_SIMULATION_H

#include "load/limit_scenarios.h"

#include <cstdint>

namespace ebonyvale {

/// How the limits are divided among the instances.
enum class limit_method {
  Shares,      ///< equal quota shares that lend tokens to each other
  StaticSplit, ///< equal quota shares without lending
  StoreChunks, ///< chunks of tokens drawn from the platform's store
};

/// Result of one simulation. Requests and refusals count from the end of the
/// warm-up, everything else from the start.
struct limit_simulation_result {
  std::uint64_t Requests = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Wrongful = 0;    ///< refused, but a central bucket would admit
  std::uint64_t Unavoidable = 0; ///< of the wrongful ones, those that no
                                 ///< allocator could avoid in a partition
  std::uint64_t OthersWrongful = 0; ///< avoidable, of all teams but the first
  double WorstOverspend = 0;        ///< tokens above rate x T + burst for any T
  std::uint64_t Messages = 0;
  std::uint64_t StoreCalls = 0;
  double Seconds = 0; ///< simulated time, warm-up included

  /// Returns the avoidable wrongful refusals in percent of all requests.
  double wrongfulPercent() const;
};

/// Simulates two minutes of \p Scenario. The same seed gives the same result.
limit_simulation_result runLimitSimulation(const limit_scenario &Scenario,
                                           limit_method Method,
                                           std::uint64_t Seed);

} // namespace ebonyvale

#endif

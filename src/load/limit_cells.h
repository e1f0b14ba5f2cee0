/// \file
/// What happens in the trials of the limits.
#ifndef EBONYVALE_LOAD_LIMIT_CELLS_H
#define EBONYVALE_LOAD_LIMIT_CELLS_H

#include "common/instant.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// The trial's fleet: three domains of three instances.
inline constexpr std::size_t TrialDomains = 3;
inline constexpr std::size_t TrialInstancesPerDomain = 3;
inline constexpr std::size_t TrialInstances =
    TrialDomains * TrialInstancesPerDomain;

/// Where callers arrive.
enum class caller_spread { Even, OneInstance, OneDomain };

/// A span of virtual time.
struct time_window {
  span_ns From{0};
  span_ns To{0};
  bool holds(span_ns At) const { return At >= From && At < To; }
};

/// One instance goes away and comes back.
struct instance_event {
  std::size_t Instance = 0;
  time_window Away;
};

/// What happens in a trial.
struct trial_cell {
  std::string_view Name;
  caller_spread Spread = caller_spread::Even;
  double Demand = 0.7;        ///< of each team's rate
  double HotTeamFactor = 1.0; ///< for the first team, times `Demand`
  double Loss = 0;            ///< part of the messages that are lost
  std::vector<instance_event> Crashes;
  std::vector<instance_event> Pauses;
  time_window DomainCut;  ///< the first domain is cut off
  time_window StoreOut;   ///< the platform's store does not answer
  time_window LowerRates; ///< all rates and bursts are halved meanwhile
};

/// Number of cells.
inline constexpr std::size_t TrialCellCount = 13;

/// The cells of the comparison.
const std::array<trial_cell, TrialCellCount> &trialCells();

} // namespace ebonyvale

#endif

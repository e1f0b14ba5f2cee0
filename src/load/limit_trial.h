/// \file
/// Trials of the limits on virtual time: a fleet of share ledgers joined by
/// delayed, lossy messages, judged by an oracle that sees every admission.
#ifndef EBONYVALE_LOAD_LIMIT_TRIAL_H
#define EBONYVALE_LOAD_LIMIT_TRIAL_H

#include "common/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// How limits are divided.
enum class limit_method {
  Shares,      ///< fixed parts with lent tokens
  StaticSplit, ///< fixed parts, nothing moves
  StoreChunks, ///< chunks drawn from the platform's store
};

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

/// What the oracle saw.
struct trial_outcome {
  std::uint64_t Requests = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Wrongful = 0;       ///< a central bucket would have admitted
  std::uint64_t Unavoidable = 0;    ///< of these, any allocator bound by
                                    ///< the same cuts had to refuse
  std::uint64_t OthersWrongful = 0; ///< of teams other than the first
  double WorstOverspend = 0;        ///< tokens above rate x T + burst, any T
  std::uint64_t Messages = 0;
  std::uint64_t StoreCalls = 0;
  double Seconds = 0; ///< virtual

  /// Avoidable wrongful refusals of all requests, in percent.
  double wrongfulPercent() const;
};

/// Number of cells.
inline constexpr std::size_t TrialCellCount = 13;

/// The cells of the comparison.
const std::array<trial_cell, TrialCellCount> &trialCells();

/// Runs \p Cell for two virtual minutes. The same seed gives the same trial.
trial_outcome runLimitTrial(const trial_cell &Cell, limit_method Method,
                            std::uint64_t Seed);

} // namespace ebonyvale

#endif

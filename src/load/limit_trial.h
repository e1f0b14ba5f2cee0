/// \file
/// Trials of the limits on virtual time: a fleet of share ledgers joined by
/// delayed, lossy messages, judged by an oracle that sees every admission.
#ifndef EBONYVALE_LOAD_LIMIT_TRIAL_H
#define EBONYVALE_LOAD_LIMIT_TRIAL_H

#include "load/limit_cells.h"

#include <cstdint>

namespace ebonyvale {

/// How limits are divided.
enum class limit_method {
  Shares,      ///< fixed parts with lent tokens
  StaticSplit, ///< fixed parts, nothing moves
  StoreChunks, ///< chunks drawn from the platform's store
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

/// Runs \p Cell for two virtual minutes. The same seed gives the same trial.
trial_outcome runLimitTrial(const trial_cell &Cell, limit_method Method,
                            std::uint64_t Seed);

} // namespace ebonyvale

#endif

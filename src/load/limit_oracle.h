/// \file
/// Test oracles that check admissions against the teams' limits, independently
/// of the algorithm that made them.
#ifndef EBONYVALE_LOAD_LIMIT_ORACLE_H
#define EBONYVALE_LOAD_LIMIT_ORACLE_H

#include "common/instant.h"
#include "decisions/process/quota_share.h"

#include <cstddef>
#include <vector>

namespace ebonyvale {

/// Checks the admissions of one team. Every admission and settlement of the
/// whole fleet has to be reported to it.
class limit_oracle {
public:
  explicit limit_oracle(quota_limits Limits)
      : Limits(Limits), Level(Limits.Burst), Central(Limits, 0, instant{}) {}

  /// Applies \p NewLimits from \p Now on.
  void setLimits(quota_limits NewLimits, instant Now);

  /// Records that \p Used tokens were spent at \p Now and that all of \p Cost
  /// is reserved in the central bucket until the request ends. Returns that
  /// reservation.
  reservation onAdmitted(const token_cost &Cost, double Used, instant Now);

  /// Settles a reservation when its request ends; tokens that it did not use
  /// return to the central bucket.
  void onSettled(const reservation &Reserved, double Used, instant Now);

  /// Returns whether a central bucket would admit \p Tokens at \p Now.
  bool centralAdmits(double Tokens, instant Now);

  quota_limits limits() const { return Limits; }

  /// Returns the tokens in the central bucket.
  double centralLevel(instant Now) { return Central.available(Now); }

  /// Returns the largest excess so far, in tokens, over rate x T + burst in any
  /// interval of length T.
  double worstOverspend() const { return WorstOverspend; }

private:
  void advance(instant Now);

  quota_limits Limits;
  // Level of a bucket that is charged with every admission and never refuses.
  // Its depth below zero is the excess over the worst interval.
  double Level;
  instant Updated;
  double WorstOverspend = 0;
  // The bucket that a single limiter for the whole fleet would have.
  quota_share Central;
};

/// Finds the refusals that no allocator could avoid during a network partition.
/// Each side may spend no more than its instances' share of the limits, since
/// otherwise the sum could exceed them. What a central bucket of one side
/// refuses therefore has to be refused by any allocator.
class partition_oracle {
public:
  /// Starts the partition. The near side gets the fraction \p NearFraction of
  /// all limits and levels, the far side gets the rest.
  void start(std::vector<limit_oracle> &Teams, double NearFraction,
             instant Now);

  /// Returns whether the central bucket of a side would admit \p Tokens.
  bool admits(bool IsNear, std::size_t Team, double Tokens, instant Now);

  /// Records that \p Used tokens were spent on a side.
  void charge(bool IsNear, std::size_t Team, double Used, instant Now);

private:
  std::vector<quota_share> Near; ///< by team
  std::vector<quota_share> Far;  ///< by team
};

} // namespace ebonyvale

#endif

/// \file
/// Judges admissions against the teams' limits, independently of how they were
/// made.
#ifndef EBONYVALE_LOAD_LIMIT_ORACLE_H
#define EBONYVALE_LOAD_LIMIT_ORACLE_H

#include "common/instant.h"
#include "decisions/process/quota_share.h"

#include <cstddef>
#include <vector>

namespace ebonyvale {

/// Watches one team.
class limit_oracle {
public:
  explicit limit_oracle(quota_limits Limits)
      : Limits(Limits), Level(Limits.Burst), Central(Limits, 0, instant{}) {}

  /// Takes other limits from now on.
  void setLimits(quota_limits Next, instant Now);

  /// Records that \p Used tokens were spent now, all of \p Cost being held
  /// until the request ends.
  reservation onAdmitted(const token_cost &Cost, double Used, instant Now);

  /// The request ended; what it did not use returns to the central bucket.
  void onSettled(const reservation &Reserved, double Used, instant Now);

  /// Whether a central bucket would admit \p Tokens now.
  bool centralAdmits(double Tokens, instant Now);

  /// The team's limits.
  quota_limits limits() const { return Limits; }

  /// Tokens in the central bucket.
  double centralLevel(instant Now) { return Central.available(Now); }

  /// Largest excess over rate x T + burst so far, over all T.
  double worstOverspend() const { return Worst; }

private:
  void advance(instant Now);

  quota_limits Limits;
  // A bucket that is charged with every admission and never refuses; how far
  // it falls below zero is the excess over the worst interval.
  double Level;
  instant Updated;
  double Worst = 0;
  // What a single ledger for the whole fleet would hold.
  quota_share Central;
};

/// During a cut each side can have no more than its instances' part of the
/// limits, or the sum could exceed them: what a central bucket of one side
/// refuses, any allocator bound by the cut has to refuse.
class cut_oracle {
public:
  /// The cut begins; the near side gets \p NearPart of all limits and levels.
  void open(std::vector<limit_oracle> &Teams, double NearPart, instant Now);

  /// Whether the central bucket of a side would admit \p Tokens.
  bool admits(bool IsNear, std::size_t Team, double Tokens, instant Now);

  /// Records that \p Used tokens were spent on a side.
  void charge(bool IsNear, std::size_t Team, double Used, instant Now);

private:
  std::vector<quota_share> Near; ///< by team
  std::vector<quota_share> Far;  ///< by team
};

} // namespace ebonyvale

#endif

/// \file
/// One instance's part of one team's rate and burst.
///
/// Invariant: level + refundable + tokens held for grants <= burst part. Where
/// accrual meets the bound, what is refundable shrinks: tokens now are worth
/// more than tokens that may come back later. Each
/// token that can still be spent somewhere is counted in exactly one part, so
/// the sum over all instances never exceeds the team's burst, whatever messages
/// are lost, and it grows by no more than the team's rate.
#ifndef EBONYVALE_DECISIONS_PROCESS_TOKEN_PART_H
#define EBONYVALE_DECISIONS_PROCESS_TOKEN_PART_H

#include "common/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebonyvale {

/// Rate and burst of a part.
struct part_limits {
  double Rate = 0;  ///< tokens per second
  double Burst = 0; ///< tokens
};

/// What a request costs.
struct token_cost {
  double Tokens = 0;  ///< reserved, an upper bound
  double Certain = 0; ///< of these, used in any case: the prompt
};

/// What an admission took and may give back.
struct reservation {
  double Tokens = 0;     ///< reserved in all
  double Refundable = 0; ///< of these, what may come back
  double Shrinkage = 0;  ///< the part's shrinkage at that time
};

/// The part itself: a token bucket that can lend tokens and spend lent ones.
class token_part {
public:
  /// Accrues nothing before \p AccrueFrom. A new process passes an instant by
  /// which every grant of a predecessor has lapsed.
  token_part(part_limits Limits, double Level, instant AccrueFrom)
      : Limits(Limits), Level(Level), Updated(AccrueFrom) {}

  /// Takes other limits from now on; a level above the new burst is dropped.
  void setLimits(part_limits NewLimits, instant Now);

  part_limits limits() const { return Limits; }

  /// Tokens that could be spent now, granted ones included.
  double available(instant Now);

  /// Tokens of this part's own level.
  double ownLevel(instant Now);

  /// Tokens that are lent at present and may come back unspent.
  double lentTokens() const;

  /// Spends \p Cost; granted tokens first, since they lapse. Only valid when
  /// `available` covers it.
  reservation spend(const token_cost &Cost, instant Now);

  /// Settles a reservation by what was used in the end. What was not used
  /// returns, what was used beyond it becomes debt.
  void settle(const reservation &Reserved, double Used, instant Now);

  /// Gives up to \p Wanted tokens away, to be spent by the taker within a term
  /// that ends before \p HeldUntil.
  double lend(std::uint64_t HoldId, double Wanted, instant HeldUntil,
              instant Now);

  /// Takes back tokens that the taker of \p HoldId did not need. When the
  /// grant is \p Closed, nothing of it can be spent any more and the hold ends.
  void takeBack(std::uint64_t HoldId, double Tokens, bool Closed, instant Now);

  /// Adds tokens lent by a peer, spendable before \p Until.
  void addGrant(const std::string &Lender, std::uint64_t AskId, double Tokens,
                instant Until, instant Now);

  /// Adds tokens lent to level out the parts. Returns those that this part
  /// has no room for.
  double absorb(double Tokens, instant Now);

  /// What becomes of a grant.
  struct grant_end {
    std::string Lender;
    std::uint64_t AskId;
    double Unspent; ///< tokens that go back to the lender
    bool Closed;    ///< nothing of the grant is left here
  };

  /// Removes live grants beyond what \p Needed takes of them. Returns these and
  /// the grants that have been spent since the last call.
  std::vector<grant_end> endGrants(double Needed, instant Now);

private:
  struct hold {
    std::uint64_t Id;
    double Tokens;
    instant Until;
  };
  struct grant {
    std::string Lender;
    std::uint64_t AskId;
    double Tokens;
    instant Until;
  };

  void advance(instant Now);
  void accrue(instant Until);
  double ceiling() const;
  void shrinkRefundable(double Bound);
  double granted() const;

  part_limits Limits;
  double Level;
  double Refundable = 0; ///< of reservations that are not yet settled
  /// Sum of the negative logarithms of the factors by which `Refundable` has
  /// shrunk; a reservation's refund shrinks with it.
  double Shrinkage = 0;
  instant Updated;
  std::vector<hold> Holds;   ///< by end, earliest first
  std::vector<grant> Grants; ///< by end, earliest first
  std::vector<grant_end> Spent;
};

} // namespace ebonyvale

#endif

/// \file
/// One instance's share of one team's rate and burst.
///
/// Invariant: level + refundable + tokens held for loans <= burst of the share.
/// If accrual reaches this bound, the refundable amount shrinks, since tokens
/// that can be spent now are worth more than tokens that may be refunded later.
/// Each token that can still be spent is counted in exactly one share. Thus the
/// sum over all instances never exceeds the team's burst, whatever messages are
/// lost, and grows by no more than the team's rate.
#ifndef EBONYVALE_DECISIONS_PROCESS_QUOTA_SHARE_H
#define EBONYVALE_DECISIONS_PROCESS_QUOTA_SHARE_H

#include "common/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebonyvale {

/// Rate and burst of a quota share.
struct quota_limits {
  double Rate = 0;  ///< tokens per second
  double Burst = 0; ///< tokens
};

/// Cost of a request.
struct token_cost {
  double Tokens = 0;        ///< reserved, an upper bound of the use
  double NonRefundable = 0; ///< of these, used in any case: the prompt
};

/// Tokens taken by an admission.
struct reservation {
  double Tokens = 0;     ///< reserved in all
  double Refundable = 0; ///< of these, upper bound of the refund
  double Shrinkage = 0;  ///< of the share at the time of the admission
};

/// A token bucket that can lend tokens and spend borrowed ones.
class quota_share {
public:
  /// Accrues nothing before \p AccrueFrom. A new process passes an instant by
  /// which all grants of earlier processes of the instance have expired.
  quota_share(quota_limits Limits, double Level, instant AccrueFrom)
      : Limits(Limits), Level(Level), Updated(AccrueFrom) {}

  /// Sets the limits. Tokens above the new burst are dropped.
  void setLimits(quota_limits NewLimits, instant Now);

  quota_limits limits() const { return Limits; }

  /// Returns the tokens that could be spent now, borrowed ones included.
  double available(instant Now);

  /// Returns the tokens that could be spent now, without borrowed ones.
  double ownLevel(instant Now);

  /// Returns the tokens that are held for loans and may be returned unspent.
  double lentTokens() const;

  /// Spends \p Cost, borrowed tokens first, since they expire. Requires that
  /// `available` covers it.
  reservation spend(const token_cost &Cost, instant Now);

  /// Settles a reservation of which \p Used tokens were used. Unused tokens are
  /// refunded; tokens used beyond the reservation become debt.
  void settle(const reservation &Reserved, double Used, instant Now);

  /// Lends up to \p Wanted tokens and returns how many. The borrower must
  /// spend them before \p HeldUntil, after which they accrue here again.
  double lend(std::uint64_t HoldId, double Wanted, instant HeldUntil,
              instant Now);

  /// Takes back \p Tokens that the borrower of \p HoldId did not spend. If the
  /// grant is \p Closed, nothing is left of it and the hold ends.
  void reclaim(std::uint64_t HoldId, double Tokens, bool Closed, instant Now);

  /// Adds \p Tokens borrowed from \p Lender, which expire at \p Until.
  void addGrant(const std::string &Lender, std::uint64_t LendRequestId,
                double Tokens, instant Until, instant Now);

  /// Adds tokens borrowed in a rebalance to the share's own tokens, which do
  /// not expire. Returns how many exceed the capacity and were not added.
  double addRebalanced(double Tokens, instant Now);

  /// Reduction or end of a grant, to be reported to the lender.
  struct ended_grant {
    std::string Lender;
    std::uint64_t LendRequestId;
    double Unspent; ///< tokens returned to the lender
    bool Closed;    ///< nothing is left of the grant
  };

  /// Removes the borrowed tokens beyond \p Needed, those that expire last
  /// first. Returns them and the grants that were spent since the last call.
  std::vector<ended_grant> releaseGrants(double Needed, instant Now);

private:
  struct hold {
    std::uint64_t Id;
    double Tokens;
    instant ExpiresAt;
  };
  struct grant {
    std::string Lender;
    std::uint64_t LendRequestId;
    double Tokens;
    instant ExpiresAt;
  };

  /// Applies accrual and expiry up to \p Now.
  void advance(instant Now);
  void accrue(instant Until);
  /// Returns the burst less the tokens held for loans.
  double capacity() const;
  /// Reduces `Refundable` to at most \p Bound.
  void shrinkRefundable(double Bound);
  double borrowedTokens() const;

  quota_limits Limits;
  double Level;
  double Refundable = 0; ///< total of the reservations not yet settled
  /// Sum of the negative logarithms of the factors by which `Refundable` was
  /// reduced. The refund of each open reservation is reduced alike.
  double Shrinkage = 0;
  instant Updated;
  std::vector<hold> Holds;   ///< earliest expiry first
  std::vector<grant> Grants; ///< earliest expiry first
  std::vector<ended_grant> SpentGrants;
};

} // namespace ebonyvale

#endif

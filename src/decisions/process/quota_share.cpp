#include "decisions/process/quota_share.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebonyvale {

void quota_share::setLimits(quota_limits NewLimits, instant Now) {
  advance(Now);
  Limits = NewLimits;
  Level = std::min(Level, capacity());
  shrinkRefundable(capacity() - Level);
}

double quota_share::available(instant Now) {
  advance(Now);
  return Level + borrowedTokens();
}

double quota_share::ownLevel(instant Now) {
  advance(Now);
  return Level;
}

reservation quota_share::spend(const token_cost &Cost, instant Now) {
  advance(Now);
  double Remaining = Cost.Tokens;
  for (grant &Grant : Grants) {
    const double Taken = std::min(Remaining, Grant.Tokens);
    Grant.Tokens -= Taken;
    Remaining -= Taken;
    if (Grant.Tokens <= 0)
      SpentGrants.push_back({Grant.Lender, Grant.LendRequestId, 0, true});
  }
  std::erase_if(Grants, [](const grant &Grant) { return Grant.Tokens <= 0; });
  Level -= Remaining;
  // Unused borrowed tokens are refunded here, not to the lender, whose hold
  // ends.
  const double MaxRefund = std::max(0.0, Cost.Tokens - Cost.NonRefundable);
  Refundable += MaxRefund;
  const reservation Reserved{Cost.Tokens, MaxRefund, Shrinkage};
  shrinkRefundable(capacity() - Level);
  return Reserved;
}

void quota_share::settle(const reservation &Reserved, double Used,
                         instant Now) {
  advance(Now);
  const double Refund =
      Reserved.Refundable * std::exp(Reserved.Shrinkage - Shrinkage);
  Refundable = std::max(0.0, Refundable - Refund);
  const double Unused = Reserved.Tokens - Used;
  Level += std::min(Unused, Refund);
  Level = std::min(Level, capacity());
}

double quota_share::lend(std::uint64_t HoldId, double Wanted, instant HeldUntil,
                         instant Now) {
  advance(Now);
  const double Lent = std::clamp(Level, 0.0, std::max(0.0, Wanted));
  if (Lent <= 0)
    return 0;
  Level -= Lent;
  const auto Position =
      std::ranges::upper_bound(Holds, HeldUntil, {}, &hold::ExpiresAt);
  Holds.insert(Position, {HoldId, Lent, HeldUntil});
  return Lent;
}

void quota_share::reclaim(std::uint64_t HoldId, double Tokens, bool Closed,
                          instant Now) {
  advance(Now);
  const auto Found = std::ranges::find(Holds, HoldId, &hold::Id);
  // Once the hold has expired, its tokens have accrued here again.
  if (Found == Holds.end())
    return;
  const double Returned = std::clamp(Tokens, 0.0, Found->Tokens);
  Level += Returned;
  Found->Tokens -= Returned;
  if (Closed || Found->Tokens <= 0)
    Holds.erase(Found);
}

void quota_share::addGrant(const std::string &Lender,
                           std::uint64_t LendRequestId, double Tokens,
                           instant Until, instant Now) {
  advance(Now);
  if (Tokens <= 0 || Until <= Now)
    return;
  const auto Position =
      std::ranges::upper_bound(Grants, Until, {}, &grant::ExpiresAt);
  Grants.insert(Position, {Lender, LendRequestId, Tokens, Until});
}

double quota_share::addRebalanced(double Tokens, instant Now) {
  advance(Now);
  const double Taken = std::clamp(capacity() - Level, 0.0, Tokens);
  Level += Taken;
  shrinkRefundable(capacity() - Level);
  return Tokens - Taken;
}

std::vector<quota_share::ended_grant> quota_share::releaseGrants(double Needed,
                                                                 instant Now) {
  advance(Now);
  std::vector<ended_grant> Ended = std::exchange(SpentGrants, {});
  double Excess = borrowedTokens() - std::max(0.0, Needed);
  while (Excess > 0 && !Grants.empty()) {
    grant &Last = Grants.back();
    const double Tokens = std::min(Excess, Last.Tokens);
    Excess -= Tokens;
    Last.Tokens -= Tokens;
    const bool Closed = Last.Tokens <= 0;
    Ended.push_back({Last.Lender, Last.LendRequestId, Tokens, Closed});
    if (Closed)
      Grants.pop_back();
  }
  return Ended;
}

void quota_share::advance(instant Now) {
  // Each hold lowers the capacity until it expires, so accrual is applied step
  // by step.
  while (!Holds.empty() && Holds.front().ExpiresAt <= Now) {
    accrue(Holds.front().ExpiresAt);
    Holds.erase(Holds.begin());
  }
  accrue(Now);
  std::erase_if(Grants,
                [Now](const grant &Grant) { return Grant.ExpiresAt <= Now; });
}

void quota_share::accrue(instant Until) {
  if (Until <= Updated)
    return;
  const double Gained = Limits.Rate * toSeconds(Until - Updated);
  Level = std::max(Level, std::min(Level + Gained, capacity()));
  shrinkRefundable(capacity() - Level);
  Updated = Until;
}

void quota_share::shrinkRefundable(double Bound) {
  if (Refundable <= std::max(0.0, Bound))
    return;
  // Zero has no logarithm; this factor leaves practically nothing either.
  constexpr double MinFactor = 1e-12;
  const double Factor = std::max(MinFactor, std::max(0.0, Bound) / Refundable);
  Refundable *= Factor;
  Shrinkage -= std::log(Factor);
}

double quota_share::lentTokens() const {
  double Held = 0;
  for (const hold &Hold : Holds)
    Held += Hold.Tokens;
  return Held;
}

double quota_share::capacity() const { return Limits.Burst - lentTokens(); }

double quota_share::borrowedTokens() const {
  double Sum = 0;
  for (const grant &Grant : Grants)
    Sum += Grant.Tokens;
  return Sum;
}

} // namespace ebonyvale

#include "decisions/process/token_part.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebonyvale {

void token_part::setLimits(part_limits NewLimits, instant Now) {
  advance(Now);
  Limits = NewLimits;
  Level = std::min(Level, ceiling());
  shrinkRefundable(ceiling() - Level);
}

double token_part::available(instant Now) {
  advance(Now);
  return Level + granted();
}

double token_part::ownLevel(instant Now) {
  advance(Now);
  return Level;
}

reservation token_part::spend(const token_cost &Cost, instant Now) {
  advance(Now);
  double Rest = Cost.Tokens;
  for (grant &Grant : Grants) {
    const double Taken = std::min(Rest, Grant.Tokens);
    Grant.Tokens -= Taken;
    Rest -= Taken;
    if (Grant.Tokens <= 0)
      Spent.push_back({Grant.Lender, Grant.AskId, 0, true});
  }
  std::erase_if(Grants, [](const grant &Grant) { return Grant.Tokens <= 0; });
  Level -= Rest;
  // Lent tokens come back here and not at their lender, whose hold ends.
  const double MayReturn = std::max(0.0, Cost.Tokens - Cost.Certain);
  Refundable += MayReturn;
  const reservation Reserved{Cost.Tokens, MayReturn, Shrinkage};
  shrinkRefundable(ceiling() - Level);
  return Reserved;
}

void token_part::settle(const reservation &Reserved, double Used, instant Now) {
  advance(Now);
  const double Left =
      Reserved.Refundable * std::exp(Reserved.Shrinkage - Shrinkage);
  Refundable = std::max(0.0, Refundable - Left);
  const double Unused = Reserved.Tokens - Used;
  Level += std::min(Unused, Left);
  Level = std::min(Level, ceiling());
}

double token_part::lend(std::uint64_t HoldId, double Wanted, instant HeldUntil,
                        instant Now) {
  advance(Now);
  const double Lent = std::clamp(Level, 0.0, std::max(0.0, Wanted));
  if (Lent <= 0)
    return 0;
  Level -= Lent;
  const auto Place =
      std::ranges::upper_bound(Holds, HeldUntil, {}, &hold::Until);
  Holds.insert(Place, {HoldId, Lent, HeldUntil});
  return Lent;
}

void token_part::takeBack(std::uint64_t HoldId, double Tokens, bool Closed,
                          instant Now) {
  advance(Now);
  const auto Found = std::ranges::find(Holds, HoldId, &hold::Id);
  // After the hold has lapsed its tokens have been accrued anew.
  if (Found == Holds.end())
    return;
  const double Returned = std::clamp(Tokens, 0.0, Found->Tokens);
  Level += Returned;
  Found->Tokens -= Returned;
  if (Closed || Found->Tokens <= 0)
    Holds.erase(Found);
}

void token_part::addGrant(const std::string &Lender, std::uint64_t AskId,
                          double Tokens, instant Until, instant Now) {
  advance(Now);
  if (Tokens <= 0 || Until <= Now)
    return;
  const auto Place = std::ranges::upper_bound(Grants, Until, {}, &grant::Until);
  Grants.insert(Place, {Lender, AskId, Tokens, Until});
}

double token_part::absorb(double Tokens, instant Now) {
  advance(Now);
  const double Taken = std::clamp(ceiling() - Level, 0.0, Tokens);
  Level += Taken;
  shrinkRefundable(ceiling() - Level);
  return Tokens - Taken;
}

std::vector<token_part::grant_end> token_part::endGrants(double Needed,
                                                         instant Now) {
  advance(Now);
  std::vector<grant_end> Ended = std::exchange(Spent, {});
  double Excess = granted() - std::max(0.0, Needed);
  while (Excess > 0 && !Grants.empty()) {
    grant &Last = Grants.back();
    const double Tokens = std::min(Excess, Last.Tokens);
    Excess -= Tokens;
    Last.Tokens -= Tokens;
    const bool Closed = Last.Tokens <= 0;
    Ended.push_back({Last.Lender, Last.AskId, Tokens, Closed});
    if (Closed)
      Grants.pop_back();
  }
  return Ended;
}

void token_part::advance(instant Now) {
  // Each hold lowers the ceiling until it ends, so accrual goes in steps.
  while (!Holds.empty() && Holds.front().Until <= Now) {
    accrue(Holds.front().Until);
    Holds.erase(Holds.begin());
  }
  accrue(Now);
  std::erase_if(Grants,
                [Now](const grant &Grant) { return Grant.Until <= Now; });
}

void token_part::accrue(instant Until) {
  if (Until <= Updated)
    return;
  const double Gained = Limits.Rate * toSeconds(Until - Updated);
  Level = std::max(Level, std::min(Level + Gained, ceiling()));
  shrinkRefundable(ceiling() - Level);
  Updated = Until;
}

void token_part::shrinkRefundable(double Bound) {
  if (Refundable <= std::max(0.0, Bound))
    return;
  // A factor of zero would have no logarithm; this one leaves nothing either.
  constexpr double LeastFactor = 1e-12;
  const double Factor =
      std::max(LeastFactor, std::max(0.0, Bound) / Refundable);
  Refundable *= Factor;
  Shrinkage -= std::log(Factor);
}

double token_part::lentTokens() const {
  double Held = 0;
  for (const hold &Hold : Holds)
    Held += Hold.Tokens;
  return Held;
}

double token_part::ceiling() const { return Limits.Burst - lentTokens(); }

double token_part::granted() const {
  double Sum = 0;
  for (const grant &Grant : Grants)
    Sum += Grant.Tokens;
  return Sum;
}

} // namespace ebonyvale

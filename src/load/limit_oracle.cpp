#include "load/limit_oracle.h"

#include <algorithm>

namespace ebonyvale {

void limit_oracle::setLimits(quota_limits Next, instant Now) {
  advance(Now);
  Limits = Next;
  Level = std::min(Level, Limits.Burst);
  Central.setLimits(Next, Now);
}

reservation limit_oracle::onAdmitted(const token_cost &Cost, double Used,
                                     instant Now) {
  advance(Now);
  Level -= Used;
  Worst = std::max(Worst, -Level);
  return Central.spend(Cost, Now);
}

void limit_oracle::onSettled(const reservation &Reserved, double Used,
                             instant Now) {
  Central.settle(Reserved, Used, Now);
}

bool limit_oracle::centralAdmits(double Tokens, instant Now) {
  return Central.available(Now) >= Tokens;
}

void limit_oracle::advance(instant Now) {
  Level =
      std::min(Limits.Burst, Level + Limits.Rate * toSeconds(Now - Updated));
  Updated = Now;
}

void cut_oracle::open(std::vector<limit_oracle> &Teams, double NearPart,
                      instant Now) {
  const auto Side = [Now](limit_oracle &Team, double Part) {
    const quota_limits Limits = Team.limits();
    return quota_share({Limits.Rate * Part, Limits.Burst * Part},
                       Team.centralLevel(Now) * Part, Now);
  };
  for (limit_oracle &Team : Teams) {
    Near.push_back(Side(Team, NearPart));
    Far.push_back(Side(Team, 1 - NearPart));
  }
}

bool cut_oracle::admits(bool IsNear, std::size_t Team, double Tokens,
                        instant Now) {
  return (IsNear ? Near : Far)[Team].available(Now) >= Tokens;
}

void cut_oracle::charge(bool IsNear, std::size_t Team, double Used,
                        instant Now) {
  quota_share &Part = (IsNear ? Near : Far)[Team];
  Part.settle(Part.spend({Used, Used}, Now), Used, Now);
}

} // namespace ebonyvale

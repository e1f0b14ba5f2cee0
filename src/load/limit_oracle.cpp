#include "load/limit_oracle.h"

#include <algorithm>

namespace ebonyvale {

void limit_oracle::setLimits(part_limits Next, instant Now) {
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

} // namespace ebonyvale

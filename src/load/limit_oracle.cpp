#include "load/limit_oracle.h"

#include <algorithm>

namespace ebonyvale {

void limit_oracle::setLimits(quota_limits NewLimits, instant Now) {
  advance(Now);
  Limits = NewLimits;
  Level = std::min(Level, Limits.Burst);
  Central.setLimits(NewLimits, Now);
}

reservation limit_oracle::onAdmitted(const token_cost &Cost, double Used,
                                     instant Now) {
  advance(Now);
  Level -= Used;
  WorstOverspend = std::max(WorstOverspend, -Level);
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

void partition_oracle::start(std::vector<limit_oracle> &Teams,
                             double NearFraction, instant Now) {
  const auto SplitBucket = [Now](limit_oracle &Team, double Fraction) {
    const quota_limits Limits = Team.limits();
    return quota_share({Limits.Rate * Fraction, Limits.Burst * Fraction},
                       Team.centralLevel(Now) * Fraction, Now);
  };
  for (limit_oracle &Team : Teams) {
    Near.push_back(SplitBucket(Team, NearFraction));
    Far.push_back(SplitBucket(Team, 1 - NearFraction));
  }
}

bool partition_oracle::admits(bool IsNear, std::size_t Team, double Tokens,
                              instant Now) {
  return (IsNear ? Near : Far)[Team].available(Now) >= Tokens;
}

void partition_oracle::charge(bool IsNear, std::size_t Team, double Used,
                              instant Now) {
  quota_share &Bucket = (IsNear ? Near : Far)[Team];
  Bucket.settle(Bucket.spend({Used, Used}, Now), Used, Now);
}

} // namespace ebonyvale

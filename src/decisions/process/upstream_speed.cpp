#include "decisions/process/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace ebonyvale {
namespace {

/// Returns the weight in [0, 1] that is left after \p Age.
double weightAfter(span_ns Age, span_ns HalfLife) {
  return std::exp2(-toMs(std::max(Age, span_ns(0))) / toMs(HalfLife));
}

double limited(double Slowness) {
  return std::clamp(Slowness, upstream_speed::MinSlowness,
                    upstream_speed::MaxSlowness);
}

} // namespace

void upstream_speed::onStated(std::int64_t Percent, instant At) {
  constexpr double UsualPercent = 100;
  constexpr double MaxPercent = 10'000;
  const auto Figure = static_cast<double>(Percent);
  if (Percent <= 0 || Figure > MaxPercent || (Stated && At <= Stated->At))
    return;
  const double Log = std::log(limited(Figure / UsualPercent));
  if (!Stated) {
    Stated = {Log, Log, At};
    return;
  }
  // The mean is what an old figure returns to.
  constexpr double NewestWeight = 0.1;
  Stated->MeanLog += NewestWeight * (Log - Stated->MeanLog);
  Stated->Log = Log;
  Stated->At = At;
}

double upstream_speed::stated(instant Now) const {
  if (!Stated)
    return 1;
  const double Weight = weightAfter(Now - Stated->At, StatedHalfLife);
  return std::exp(Weight * Stated->Log + (1 - Weight) * Stated->MeanLog);
}

double upstream_speed::learned(instant Now) const {
  return std::exp(LearnedLog * weightAfter(Now - LearnedAt, LearnedHalfLife));
}

void upstream_speed::onObserved(double Ms, double UsualMs, instant Now) {
  const bool IsUsable =
      std::isfinite(Ms) && std::isfinite(UsualMs) && Ms > 0 && UsualMs > 0;
  if (!IsUsable)
    return;
  // One response moves the slowness by a tenth at most, since requests differ.
  constexpr double NewestWeight = 0.1;
  constexpr double MaxStep = 1;
  const double Known = std::log(learned(Now));
  const double Seen = std::log(limited(Ms / UsualMs / stated(Now)));
  LearnedLog =
      Known + NewestWeight * std::clamp(Seen - Known, -MaxStep, MaxStep);
  LearnedAt = Now;
}

} // namespace ebonyvale

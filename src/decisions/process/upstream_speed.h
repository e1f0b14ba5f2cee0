/// \file
/// How long work takes on one upstream, relative to the others of its service.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_SPEED_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_SPEED_H

#include "common/instant.h"

#include <cstdint>
#include <optional>

namespace ebonyvale {

/// Slowness is the time that work takes divided by the usual time: 1 as usual,
/// 2 half as fast. It is the product of what the upstream states of its machine
/// at the moment and of what responses show beyond that.
class upstream_speed {
public:
  /// Bounds of what is believed, stated or learned: a stated figure of an
  /// upstream that is in error must not move all work to it or from it.
  static constexpr double MinSlowness = 0.25;
  static constexpr double MaxSlowness = 8;
  /// Age at which a stated figure counts half; it changes many times a second.
  static constexpr span_ns StatedHalfLife = std::chrono::milliseconds(300);
  /// Time after which half of what was learned is forgotten, if no response
  /// confirms it: the machine's other load may have changed.
  static constexpr span_ns LearnedHalfLife = std::chrono::seconds(20);

  /// Records that the upstream has stated its slowness, in percent, at \p At.
  /// Figures out of range, and those older than the last one, are ignored.
  void onStated(std::int64_t Percent, instant At);
  /// Records that work took \p Ms which takes \p UsualMs elsewhere.
  void onObserved(double Ms, double UsualMs, instant Now);

  /// Returns the expected slowness of work that begins now.
  double slowness(instant Now) const { return learned(Now) * stated(Now); }
  /// Returns the part of the slowness that was learned from responses.
  double learned(instant Now) const;
  /// Returns the part that the upstream has stated.
  double stated(instant Now) const;

private:
  struct statement {
    double Log = 0; ///< logarithm of the last figure
    double MeanLog = 0;
    instant At;
  };
  std::optional<statement> Stated;
  double LearnedLog = 0; ///< as of `LearnedAt`
  instant LearnedAt;
};

} // namespace ebonyvale

#endif

/// \file
/// What one upstream still has to do of this instance's requests.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_WORK_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_WORK_H

#include "common/instant.h"

#include <cstdint>
#include <vector>

namespace ebonyvale {

/// Expected rest of the requests in flight at one upstream. Times are those of
/// an upstream of usual speed.
class upstream_work {
public:
  /// A request that runs past its expected time still counts this fraction of
  /// it: it may be any of the long ones.
  static constexpr double MinRest = 0.2;

  /// Records that the request \p Number was sent, which is expected to take
  /// \p ExpectedMs.
  void onSent(std::uint64_t Number, double ExpectedMs, instant Now);
  void onEnded(std::uint64_t Number);

  /// Returns the expected rest of all requests, each of which progresses by
  /// \p Pace of its time.
  double restMs(double Pace, instant Now) const;

private:
  struct request {
    std::uint64_t Number = 0;
    double ExpectedMs = 0;
    instant SentAt;
  };
  std::vector<request> Requests;
};

} // namespace ebonyvale

#endif

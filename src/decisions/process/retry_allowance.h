/// \file
/// This instance's part of the fleet's retry budget, over a sliding window.
#ifndef EBONYVALE_DECISIONS_PROCESS_RETRY_ALLOWANCE_H
#define EBONYVALE_DECISIONS_PROCESS_RETRY_ALLOWANCE_H

#include "common/instant.h"

#include <deque>

namespace ebonyvale {

/// The budget as the operators state it, for the whole fleet.
struct retry_terms {
  double Ratio = 0.2; ///< of the requests in a window
  double Slack = 50;  ///< further repeats in a window, over all instances
  span_ns Window = std::chrono::seconds(10);
};

/// Repeats allowed to one service by one instance. Each instance counts its own
/// requests and uses an equal part of the slack, so the sum holds without any
/// message between them.
class retry_allowance {
public:
  /// A caller's request for the service has arrived.
  void onRequest(instant Now, const retry_terms &Terms);

  /// Takes one repeat; false when the window's budget is used up.
  bool take(instant Now, const retry_terms &Terms, std::size_t Instances);

private:
  void dropOld(instant Now, const retry_terms &Terms);

  std::deque<instant> Requests;
  std::deque<instant> Repeats;
};

} // namespace ebonyvale

#endif

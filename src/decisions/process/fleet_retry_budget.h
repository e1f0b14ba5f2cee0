/// \file
/// One instance's share of the fleet's retry budget, over a sliding window.
#ifndef EBONYVALE_DECISIONS_PROCESS_FLEET_RETRY_BUDGET_H
#define EBONYVALE_DECISIONS_PROCESS_FLEET_RETRY_BUDGET_H

#include "common/instant.h"

#include <deque>

namespace ebonyvale {

/// Retry budget of the whole fleet, as configured by operators.
struct retry_options {
  double Ratio = 0.2; ///< retries for each request in a window
  double Slack = 50;  ///< further retries in a window, over all instances
  span_ns Window = std::chrono::seconds(10);
};

/// Limits the retries of one instance for one service. Each instance counts its
/// own requests and uses an equal share of the slack, so the fleet stays within
/// the budget without messages between instances. A process knows nothing of
/// what the one before it has spent, so it uses little of its share of the
/// slack in the first window of its life.
class fleet_retry_budget {
public:
  /// \p Started is the start of this process.
  explicit fleet_retry_budget(instant Started) : Started(Started) {}

  /// Counts a request of a caller for the service.
  void onRequest(instant Now, const retry_options &Options);

  /// Takes one retry from the budget. Returns false if the budget of the window
  /// is used up. \p Instances is the number of those that may have spent a
  /// share of the slack within the window; 0: it is not known.
  bool take(instant Now, const retry_options &Options, std::size_t Instances);

private:
  /// Drops the requests and retries that are older than the window.
  void dropExpired(instant Now, const retry_options &Options);

  instant Started;
  std::deque<instant> Requests;
  std::deque<instant> Retries;
};

} // namespace ebonyvale

#endif

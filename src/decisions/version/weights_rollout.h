/// \file
/// Rolls new weights out to the upstreams, a limited number at a time. Only the
/// instance that holds the issuer's claim may run it, since all orders must
/// come from one issuer.
#ifndef EBONYVALE_DECISIONS_VERSION_WEIGHTS_ROLLOUT_H
#define EBONYVALE_DECISIONS_VERSION_WEIGHTS_ROLLOUT_H

#include "common/instant.h"
#include "decisions/process/upstream_directory.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ebonyvale {

/// Options of a rollout.
struct rollout_options {
  /// Number of upstreams that may change weights concurrently. They spend most
  /// of that time draining running requests, so fewer load at the same time.
  /// Those that wait for an order without a response to take effect serve
  /// meanwhile and do not count, but all together are at most twice as many.
  std::size_t MaxConcurrent = 3;
  /// The same number as a fraction of all upstreams. The larger one applies,
  /// since a large fleet must complete a rollout in the same time.
  double ConcurrentFraction = 0.2;
  /// Delay from the pause of new requests to the order. By then the peers know
  /// of the pause and the requests queued at the upstream have started. The
  /// upstream would refuse requests that arrive later or are still queued.
  span_ns PauseLead = std::chrono::milliseconds(250);
  /// Longest and shortest delay from an accepted order to the first poll for
  /// its completion. Begins at the longest and follows how long loading takes:
  /// it is shortened by a tenth if the first poll shows the new weights, and
  /// lengthened by `FirstPollStep` if it does not.
  span_ns FirstPollDelay = std::chrono::milliseconds(700);
  span_ns MinFirstPollDelay = std::chrono::milliseconds(150);
  span_ns FirstPollStep = std::chrono::milliseconds(20);
  /// Delay between further polls.
  span_ns NextPollDelay = std::chrono::milliseconds(150);
  /// Reports lag by up to this time: until then, an idle report may be older
  /// than the order.
  span_ns ReportLag = std::chrono::milliseconds(900);
  /// Delay after a rejected order or a missing or malformed report.
  span_ns RetryDelay = std::chrono::milliseconds(500);
  /// Duration of a pause of new requests unless it is renewed.
  span_ns PauseDuration = std::chrono::milliseconds(1500);
};

/// Send the upstream no new requests for `PauseTime`; zero ends the pause.
struct rollout_pause {
  std::string Upstream;
  span_ns PauseTime{0};
};

/// Request a report from the upstream.
struct rollout_poll {
  std::string Upstream;
};

/// Order the upstream to load a version of the weights.
struct rollout_order {
  std::string Upstream;
  std::string Model;
  std::int64_t Version = 0;
  std::int64_t AcceptedOrders = 0; ///< count expected at the upstream
};

using rollout_action = std::variant<rollout_pause, rollout_poll, rollout_order>;
using rollout_actions = std::vector<rollout_action>;

/// The contents of an upstream's report.
struct rollout_report {
  bool Busy = false; ///< an order is in progress
  std::int64_t AcceptedOrders = 0;
  std::map<std::string, std::int64_t, std::less<>> Models;
};

/// The upstream's response to an order.
enum class order_outcome {
  AcceptedOrLoaded, ///< accepted, or the version was already loaded
  Conflict,         ///< the upstream has accepted another number of orders
  Rejected,         ///< rejected for any other reason
  Unknown           ///< no response; the order may have been accepted
};

/// Plans the rollouts of all models and returns the actions to take.
class weights_rollout {
public:
  explicit weights_rollout(rollout_options Options)
      : Options(Options), FirstPollDelay(Options.FirstPollDelay) {}

  /// Sets the target version of \p Model unless it is lower than the current
  /// one.
  void setTargetVersion(std::string_view Model, std::int64_t Version);

  /// Updates the set of upstreams and their weights. An upstream that has
  /// restarted is treated as a new one.
  void update(const upstream_directory &Directory);

  /// Records weights that a response of the upstream or a peer has reported.
  /// Lower versions are ignored.
  void onWeights(std::string_view Upstream, std::string_view Model,
                 std::int64_t Version);

  /// Starts and continues rollouts of upstreams and returns the actions to
  /// take. Must be called only while the issuer's claim is held.
  rollout_actions onTick(instant Now);

  /// Handles a report of \p Upstream and returns the actions to take. \p Report
  /// is null if it is missing or malformed.
  rollout_actions onReport(std::string_view Upstream,
                           const rollout_report *Report, instant Now);

  /// Handles the response to an order.
  rollout_actions onOrderResponse(std::string_view Upstream,
                                  order_outcome Outcome, instant Now);

  /// Abandons all rollouts after the claim was lost, and returns the actions
  /// that end their pauses.
  rollout_actions abandon();

  /// Returns the number of upstreams whose weights are outdated.
  std::size_t pending() const;

private:
  enum class phase { Idle, Pausing, Polling, Ordering, Loading };
  struct upstream_state {
    std::map<std::string, std::int64_t, std::less<>> Models;
    std::int64_t Born = 0; ///< start time, which identifies the process
    bool Draining = false;
    /// The last order got no response, and no report shows it in progress.
    bool Unanswered = false;
    bool Polled = false; ///< a report has come since the order was accepted
    phase Phase = phase::Idle;
    instant NextAt; ///< time of the next poll or retry
    instant OrderedAt;
  };

  /// Returns a model whose weights the upstream has to load; empty if it is up
  /// to date or draining.
  std::string_view outdatedModel(const upstream_state &State) const;
  /// Returns the number of upstreams that may change weights concurrently.
  std::size_t maxConcurrent() const;
  /// Returns by how many versions the upstream is behind, at most, over all its
  /// models.
  std::int64_t versionLag(const upstream_state &State) const;
  /// Ends the rollout of the upstream and returns the action that ends its
  /// pause.
  rollout_actions finish(std::string_view Upstream, upstream_state &State);
  /// Adapts the delay of the first poll. \p Completed tells whether the first
  /// report after an order shows the new weights.
  void onFirstPoll(bool Completed);

  rollout_options Options;
  span_ns FirstPollDelay; ///< at present
  std::map<std::string, std::int64_t, std::less<>> TargetVersions;
  std::map<std::string, upstream_state, std::less<>> States;
};

} // namespace ebonyvale

#endif

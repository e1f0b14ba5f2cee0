/// \file
/// Brings upstreams to new weights, a few at a time, as the one issuer of
/// orders. Whoever runs it must hold the issuer's claim.
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

/// Terms of a rollout.
struct rollout_terms {
  /// Upstreams that take weights at once. Most of that time they wait for their
  /// running requests, so that fewer really load.
  std::size_t AtOnce = 3;
  /// Part of all engines that take weights at once where that is more: a large
  /// fleet has to be through within the same bound.
  double PartAtOnce = 0.2;
  /// From the pause of new work to the order: peers have heard of it, and
  /// requests that wait there have begun. Others would be refused.
  span_ns PauseLead = std::chrono::milliseconds(250);
  /// From an accepted order to the first look whether it is done; loading takes
  /// at least this long.
  span_ns FirstLook = std::chrono::milliseconds(700);
  /// Between further looks.
  span_ns LookInterval = std::chrono::milliseconds(150);
  /// Reports lag: one that shows no work may be older than the order.
  span_ns ReportLag = std::chrono::milliseconds(900);
  /// After a refused order or an unreadable report.
  span_ns RetryPause = std::chrono::milliseconds(500);
  /// For how long a pause of new work holds without being renewed.
  span_ns PauseTerm = std::chrono::milliseconds(1500);
};

/// Give the upstream no new work for \p For; zero ends the pause.
struct rollout_pause {
  std::string Upstream;
  span_ns For{0};
};

/// Ask the upstream for a report.
struct rollout_look {
  std::string Upstream;
};

/// Send the order.
struct rollout_order {
  std::string Upstream;
  std::string Model;
  std::int64_t Version = 0;
  std::int64_t AcceptedOrders = 0; ///< expected at the upstream
};

using rollout_action = std::variant<rollout_pause, rollout_look, rollout_order>;
using rollout_actions = std::vector<rollout_action>;

/// What is known of an upstream after a report.
struct rollout_report {
  bool Busy = false;
  std::int64_t AcceptedOrders = 0;
  std::map<std::string, std::int64_t, std::less<>> Models;
};

/// How an order was received.
enum class order_outcome { Taken, Conflict, Rejected, Unknown };

/// The rollout of all models.
class weights_rollout {
public:
  explicit weights_rollout(rollout_terms Terms) : Terms(Terms) {}

  /// Operators named a version; lower ones are ignored.
  void want(std::string_view Model, std::int64_t Version);

  /// Takes the discovered upstreams.
  void update(const upstream_directory &Directory);

  /// An answer or a peer told of weights.
  void onWeights(std::string_view Upstream, std::string_view Model,
                 std::int64_t Version);

  /// Starts and continues work; to be called while the claim is held.
  rollout_actions onTick(instant Now);

  /// Null for a report that did not come or cannot be read.
  rollout_actions onReport(std::string_view Upstream,
                           const rollout_report *Report, instant Now);
  void onOrderAnswer(std::string_view Upstream, order_outcome Outcome,
                     instant Now);

  /// The claim was lost: nothing of the present work is this instance's.
  rollout_actions abandon();

  /// Upstreams whose weights are not the newest.
  std::size_t pending() const;

private:
  enum class phase { Idle, Pausing, Looking, Ordering, Loading };
  struct target_state {
    std::map<std::string, std::int64_t, std::less<>> Models;
    std::int64_t Born = 0;
    bool Draining = false;
    phase Phase = phase::Idle;
    instant NextAt;
    instant OrderedAt;
  };

  /// The model that the upstream has to load; empty when it is up to date.
  std::string_view outdated(const target_state &State) const;
  std::size_t atOnce() const;
  std::int64_t lowestLag(const target_state &State) const;
  rollout_actions finish(std::string_view Upstream, target_state &State);

  rollout_terms Terms;
  std::map<std::string, std::int64_t, std::less<>> Wanted;
  std::map<std::string, target_state, std::less<>> States;
};

} // namespace ebonyvale

#endif

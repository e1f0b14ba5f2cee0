/// \file
/// Sends the orders of a weights rollout while this instance holds the claim.
#ifndef EBONYVALE_GATEWAY_VERSION_WEIGHTS_TASK_H
#define EBONYVALE_GATEWAY_VERSION_WEIGHTS_TASK_H

#include "decisions/version/weights_rollout.h"
#include "gateway/connection/upstream_call.h"
#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"
#include "gateway/process/lease_keeper.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ebonyvale {

/// Elects the instance of the fleet that sends weight orders to upstreams. If
/// this instance is elected, it sends the orders. The elected instance holds
/// the claim, a store item attached to its lease. The item's revision is the
/// fencing token of its orders. A holder waits until no order of another one
/// can still arrive, unless its write replaced its own last claim: only then
/// did nobody hold the claim in between.
class weights_task {
public:
  weights_task(gateway_core &Core, fleet_store &Store);
  ~weights_task();

  /// Starts the periodic check of the claim and the rollout.
  void start();

  /// Releases the claim if this instance holds it.
  void leave();

  /// Returns the instance that holds the claim as last read, or an empty
  /// string.
  const std::string &claimHolder() const { return ClaimHolder; }

  /// Sets the weights version that the operators want for a model.
  void setTarget(const weights_target &Target);
  /// Handles a change of the upstream directory.
  void onUpstreamsChanged();
  /// Handles a report that \p Upstream holds \p Version of \p Model.
  void onWeights(std::string_view Upstream, std::string_view Model,
                 std::int64_t Version);

  /// Handles a new state of the claim. \p Item is null if a listing did not
  /// contain it.
  void onClaim(const store_item *Item);

  /// Returns the store key of the claim.
  static std::string_view claimKey();

private:
  /// Returns whether this process wrote the claim and its lease is still valid.
  bool holdsClaim(instant Now) const;
  /// Writes the claim if no other instance holds it. Instances try one after
  /// the other by name, so that a free claim does not cause a write of each.
  void tryClaim(instant Now);
  void readClaim();
  /// Leaves the claim to an instance that reaches the engines.
  void giveUpClaim();
  void onTick();
  void execute(const rollout_actions &Actions);
  void requestReport(const std::string &Upstream);
  void sendOrder(const rollout_order &Order);
  /// Returns a request addressed to \p Upstream, or nothing if the directory
  /// does not list it.
  std::optional<client_request> makeRequest(const std::string &Upstream) const;

  gateway_core &Core;
  fleet_store &Store;
  lease_keeper Lease; ///< active while this instance holds or tries the claim
  weights_rollout Rollout;
  std::string ClaimHolder;          ///< as last read; empty: no claim
  std::int64_t ClaimRevision = 0;   ///< as last read; 0: no claim
  std::optional<instant> FreeSince; ///< when no holder was first seen
  bool ClaimKnown = false;          ///< false until it has been read
  bool Claiming = false;            ///< a write of the claim is in flight
  /// Fencing token: revision of the claim that this process wrote; 0: none.
  std::int64_t FencingToken = 0;
  std::int64_t LastToken = 0;  ///< the last fencing token, also once it is lost
  std::int64_t ClaimLease = 0; ///< lease that the claim is attached to
  std::optional<instant> RetryReadAt; ///< when to retry a failed read
  /// Until then, orders of another holder may still arrive.
  instant FirstOrderAt;
  timer TickTimer;
  std::set<std::shared_ptr<upstream_call>> Calls; ///< in flight
};

} // namespace ebonyvale

#endif

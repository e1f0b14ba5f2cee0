/// \file
/// Issues the orders of a weights rollout while this instance holds the claim.
#ifndef EBONYVALE_GATEWAY_VERSION_WEIGHTS_TASK_H
#define EBONYVALE_GATEWAY_VERSION_WEIGHTS_TASK_H

#include "decisions/version/weights_rollout.h"
#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"
#include "gateway/process/membership_task.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ebonyvale {

/// One instance of the fleet holds the claim, an item under its lease. Its
/// revision is the fence of every order. A new holder on another instance waits
/// until orders of the one before it cannot arrive any more.
class weights_task {
public:
  weights_task(gateway_core &Core, fleet_store &Store,
               membership_task &Membership);
  ~weights_task();

  void start();

  /// The instance that issues orders, as last read; empty for none.
  const std::string &holder() const { return ClaimOwner; }

  void want(const weights_target &Target);
  void onUpstreams();
  void onWeights(std::string_view Upstream, std::string_view Model,
                 std::int64_t Version);

  /// The claim was written or removed, or a listing did not contain it.
  void onClaim(const store_item *Item);

  static std::string_view claimKey();

private:
  class call;

  bool holds(instant Now) const;
  void claim(instant Now);
  void readClaim();
  void onTick();
  void carryOut(const rollout_actions &Actions);
  void look(const std::string &Upstream);
  void order(const rollout_order &Order);
  std::optional<client_request> requestTo(const std::string &Upstream) const;

  gateway_core &Core;
  fleet_store &Store;
  membership_task &Membership;
  weights_rollout Rollout;
  std::string ClaimOwner;         ///< as last read; empty for none
  std::int64_t ClaimRevision = 0; ///< as last read; 0 for none
  bool ClaimKnown = false;
  bool Claiming = false;
  std::int64_t Fence = 0; ///< of the claim that this process wrote; 0: none
  std::int64_t FenceLease = 0;
  std::optional<instant> RereadAt;
  instant OthersUntil; ///< orders of another holder may arrive before it
  timer TickTimer;
  std::set<std::shared_ptr<call>> Calls;
};

} // namespace ebonyvale

#endif

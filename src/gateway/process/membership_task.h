/// \file
/// Keeps this instance's entry and presence in the store, and updates the
/// roster of instances.
#ifndef EBONYVALE_GATEWAY_PROCESS_MEMBERSHIP_TASK_H
#define EBONYVALE_GATEWAY_PROCESS_MEMBERSHIP_TASK_H

#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"
#include "gateway/process/lease_keeper.h"

#include <string>

namespace ebonyvale {

/// Key prefix of the items that the gateways themselves keep in the store.
inline constexpr std::string_view FleetItemsPrefix = "ebonyvale/";

/// Writes the entry "instances/NAME", which outlives the process, and the
/// presence "alive/NAME" under the lease of the process.
class membership_task {
public:
  membership_task(gateway_core &Core, fleet_store &Store);

  /// Requests a lease and starts the periodic tasks.
  void start();

  /// Revokes the lease, which removes the presence and claims under it at once.
  void leave();

  /// Lists the instance again, since its entries and its lease may be gone.
  void onStoreRestored() { Lease.onExpired(); }

  /// Returns the lease id, or 0 if the lease may have expired or the presence
  /// is not written yet.
  std::int64_t lease(instant Now) const;

  /// Updates the roster after an item was written or removed.
  void onItem(const store_item &Item);

  /// Updates the roster from a complete listing of the fleet's items.
  void onListing(const store_items &Items);

private:
  void announce();
  void onTick();
  /// Returns whether this process has written \p Item.
  bool isOwn(const store_item &Item) const;

  gateway_core &Core;
  fleet_store &Store;
  std::string EntryKey;
  std::string PresenceKey;
  bool Announced = false; ///< entry and presence are written
  bool HasListed = false; ///< the fleet's items have been read
  lease_keeper Lease;
  timer AnnounceTimer; ///< next attempt after a failed one
  timer TickTimer;
};

} // namespace ebonyvale

#endif

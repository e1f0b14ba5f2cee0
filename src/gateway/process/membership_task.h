/// \file
/// Keeps this instance listed in the store and its lease alive, and knows the
/// other instances.
#ifndef EBONYVALE_GATEWAY_PROCESS_MEMBERSHIP_TASK_H
#define EBONYVALE_GATEWAY_PROCESS_MEMBERSHIP_TASK_H

#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"

#include <string>

namespace ebonyvale {

/// Prefix of the fleet's own items.
inline constexpr std::string_view OwnItemsPrefix = "ebonyvale/";

/// Writes "instances/NAME", which lasts, and "alive/NAME", which ends with the
/// process's one lease.
class membership_task {
public:
  membership_task(gateway_core &Core, fleet_store &Store);

  void start();

  /// Ends the lease; the marks and claims under it go at once.
  void leave();

  /// The lease, while it cannot have ended by this process's clock.
  std::int64_t lease(instant Now) const;

  /// An own item was written or removed.
  void onItem(const store_item &Item);
  void onListing(const store_items &Items);

private:
  void grant();
  void announce();
  void renew();
  void retryLater();
  void onTick();

  gateway_core &Core;
  fleet_store &Store;
  std::string EntryKey;
  std::string MarkKey;
  std::int64_t Lease = 0;
  instant LeaseUntil;
  bool Announced = false;
  bool Leaving = false;
  timer StepTimer;
  timer TickTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// Keeps a lease of the store alive.
#ifndef EBONYVALE_GATEWAY_PROCESS_LEASE_KEEPER_H
#define EBONYVALE_GATEWAY_PROCESS_LEASE_KEEPER_H

#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"

#include <cstdint>
#include <functional>
#include <string>

namespace ebonyvale {

/// Requests a lease, renews it, and requests another one when it has expired.
class lease_keeper {
public:
  /// Called with each new lease, before `id` returns it for the first time to
  /// others.
  using granted_callback = std::function<void()>;

  /// \p Purpose names the lease in logs and metrics.
  lease_keeper(gateway_core &Core, fleet_store &Store, span_ns Duration,
               std::string Purpose, granted_callback OnGranted);

  /// Begins to hold a lease. Does nothing if it does already.
  void start();

  /// Ends the lease, which removes the items under it.
  void stop();

  bool isActive() const { return Active; }

  /// Returns the id of the lease, or 0 if there is none or it may have expired.
  std::int64_t id(instant Now) const { return Now < Until ? Lease : 0; }

  /// Handles the news that the store does not know the lease.
  void onExpired();

private:
  void grant();
  void renew();
  void scheduleRenewal(const store_result &Result);
  /// Counts a call of the kind \p Call.
  void countCall(std::string_view Call, store_status Status);

  gateway_core &Core;
  fleet_store &Store;
  span_ns Duration;
  std::string Purpose;
  granted_callback OnGranted;
  bool Active = false;
  std::int64_t Lease = 0;
  instant Until; ///< by this process's clock, less a margin
  timer NextCall;
};

} // namespace ebonyvale

#endif

/// \file
/// Reads of the store for requests that need what it holds now.
#ifndef EBONYVALE_GATEWAY_PROCESS_STORE_BARRIER_H
#define EBONYVALE_GATEWAY_PROCESS_STORE_BARRIER_H

#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"
#include "net/timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ebonyvale {

/// Knows which configuration this instance has read.
class routing_source {
public:
  virtual ~routing_source() = default;
  /// Returns the revision of the configuration that was read last, or nothing
  /// if none was.
  virtual std::optional<std::int64_t> routingRevision() const = 0;
};

/// Reads which software versions are listed and whether the configuration in
/// force is still the store's. A follower of the store learns of both late; a
/// read that is sent after a request has arrived shows all that any instance
/// can have followed before. Requests that wait at the same time share a read.
class store_barrier final : public read_barrier {
public:
  /// Longest wait of a request.
  static constexpr span_ns MaxWait = std::chrono::milliseconds(300);
  /// Time from the beginning of one read to that of the next.
  static constexpr span_ns MinInterval = std::chrono::milliseconds(100);
  /// Most upstreams that are read for it; a page of the store.
  static constexpr std::size_t MaxUpstreams = 500;

  store_barrier(gateway_core &Core, fleet_store &Store,
                const routing_source &Routing);
  ~store_barrier() override;

  // read_barrier
  void awaitRead(const std::weak_ptr<read_waiter> &Waiter) override;

private:
  struct waiting_request {
    std::weak_ptr<read_waiter> Waiter;
    instant Until;
  };

  /// Begins a read for the requests that wait for one, unless another one runs
  /// or has just begun.
  void beginRead();
  void onUpstreams(const store_items &Items);
  /// Asks whether \p Known is still the revision of the configuration.
  void confirmRouting(std::int64_t Known);
  void endRead(bool IsCurrent);
  void onTimer();
  void armTimer(instant Now);
  void answer(const waiting_request &Request, bool IsCurrent);

  gateway_core &Core;
  fleet_store &Store;
  const routing_source &Routing;
  std::vector<waiting_request> Waiting; ///< for the next read, oldest first
  std::vector<waiting_request> Covered; ///< by the read that runs, likewise
  std::optional<instant> BegunAt;       ///< of the last read
  bool Reading = false;
  timer Timer; ///< the next end of a wait, or beginning of a read
};

} // namespace ebonyvale

#endif

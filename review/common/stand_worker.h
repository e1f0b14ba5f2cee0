/// \file
/// A worker of a plain service behind a proxy, as the platform's pages describe
/// it. It can crash, and restart under its id.
#ifndef EBONYVALE_REVIEW_COMMON_STAND_WORKER_H
#define EBONYVALE_REVIEW_COMMON_STAND_WORKER_H

#include "fakes/fake_fleet_store.h"
#include "net/server_connection.h"
#include "soak/loopback_proxy.h"

#include <functional>
#include <string>
#include <vector>

namespace ebonyvale {

/// A request that arrived at a worker.
struct worker_arrival {
  instant At;
  std::string RequestId;
  std::string Target;
  bool Runs = false; ///< false: refused with 421
};

/// A worker that listens on a loopback port.
class stand_worker final : public request_handler {
public:
  stand_worker(event_base *Base, fake_fleet_store &Store, std::string Id,
               std::string Zone);

  const std::string &id() const { return Id; }
  const std::vector<worker_arrival> &arrivals() const { return Arrivals; }
  bool running() const { return Running; }

  /// Writes the entry of the current process to the store.
  void publish();
  /// Removes the entry from the store.
  void unpublish() { Store.erase("servers/" + Id); }
  /// Ends the process: its connections are reset, and new ones refused.
  void end();
  /// Starts a new process under the same id at the same address, and publishes
  /// it.
  void restart();

  /// Called with each request that begins to run.
  std::function<void(const http_request &)> OnRun;
  span_ns RunTime = std::chrono::milliseconds(30);
  std::string ResponseBody = std::string(800, 'x');

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;

private:
  event_base *Base;
  fake_fleet_store &Store;
  std::string Id;
  std::string Zone;
  std::int64_t Born = 0;
  unsigned Process = 0; ///< number of the current process
  bool Running = true;
  connection_listener Links;
  loopback_proxy Proxy;
  std::vector<worker_arrival> Arrivals;
};

} // namespace ebonyvale

#endif

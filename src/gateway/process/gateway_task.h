/// \file
/// The gateway process: listeners, core, background tasks and graceful stop.
#ifndef EBONYVALE_GATEWAY_PROCESS_GATEWAY_TASK_H
#define EBONYVALE_GATEWAY_PROCESS_GATEWAY_TASK_H

#include "gateway/connection/end_verifier.h"
#include "gateway/connection/operator_handler.h"
#include "gateway/connection/path_prober.h"
#include "gateway/connection/peer_gossip.h"
#include "gateway/connection/upstream_verifier.h"
#include "gateway/process/gateway_core.h"
#include "gateway/process/membership_task.h"
#include "gateway/process/origin_task.h"
#include "gateway/process/store_barrier.h"
#include "gateway/process/store_follower.h"
#include "gateway/request/forward_session.h"
#include "gateway/request/relay_session.h"
#include "gateway/version/release_task.h"
#include "gateway/version/weights_task.h"
#include "net/server_connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <ostream>

namespace ebonyvale {

/// Creates the client of the platform's store.
using store_factory = std::function<std::unique_ptr<fleet_store>(
    client_connection_pool &Links, const endpoint &Server,
    span_ns CallTimeout)>;

/// Runs one gateway on one event loop.
class gateway_task final : public request_handler,
                           public session_observer,
                           public routing_observer,
                           public follower_observer {
public:
  gateway_task(event_base *Base, const gateway_settings &Settings,
               const platform_protocols &Protocols,
               const store_factory &MakeStore);
  ~gateway_task() override;

  /// Opens the listeners and starts the background tasks. Fails with
  /// `SettingsInvalid` when an endpoint is malformed or cannot be bound.
  std::optional<failure> start();

  /// Begins a graceful stop; further calls have no effect.
  void stop();
  bool stopping() const { return StopRequested.has_value(); }

  /// Stops the event loop at once and aborts requests in flight.
  void stopNow();

  /// Writes one "name port" line for each TCP listener.
  void writePorts(std::ostream &Out) const;

  gateway_core &core() { return Core; }

  // request_handler
  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;
  void onIdleClosed() override;
  void onConnectionShed(std::string_view Reason) override;

  // session_observer
  void onUpstreamWeights(std::string_view Upstream, std::string_view Model,
                         std::int64_t Version) override;

  // routing_observer
  void onRoutingChanged(const routing_table &Table, instant Now) override;

  // follower_observer
  void onFleetItem(const store_item &Item) override;
  void onFleetListing(const store_items &Items) override;
  void onWeightsTarget(const weights_target &Target) override;
  void onReleaseOrder(std::string_view Service,
                      const std::optional<release_order> &Order,
                      std::int64_t Revision, bool AtStart) override;
  bool isListed(instant Now) const override;
  void onStoreRestored() override;
  void onUpstreamsChanged() override;

private:
  /// Listens on the endpoint \p Text of the setting \p Setting.
  std::optional<failure> listen(connection_listener &Links,
                                std::string_view Setting,
                                const std::string &Text);

  /// Refuses a request before its head was parsed.
  void refuse(server_connection &Link, error_kind Kind, span_ns RetryAfter,
              std::string Detail = {});
  void onStopTick();

  event_base *Base;
  gateway_core Core;
  std::unique_ptr<fleet_store> Store;
  membership_task Membership;
  weights_task Weights;
  release_task Releases;
  store_follower Follower;
  store_barrier Barrier;
  origin_task Origins;
  upstream_verifier Verifier;
  end_verifier Ends;
  peer_gossip Gossip;
  refusal_writer Refusals;
  operator_handler Operators;
  relay_handler Relays;
  path_prober Prober;
  connection_listener Callers;
  connection_listener RelayLinks;
  connection_listener ReadyLinks;
  connection_listener MetricsLinks;
  std::optional<instant> StopRequested;
  timer StopTimer;
};

} // namespace ebonyvale

#endif

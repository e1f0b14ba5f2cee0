/// \file
/// Serves the admin API: status, upstreams, refusals and release notes as JSON.
#ifndef EBONYVALE_DAEMON_CONNECTION_ADMIN_LISTENER_H
#define EBONYVALE_DAEMON_CONNECTION_ADMIN_LISTENER_H

#include "daemon/connection/peer_hub.h"
#include "daemon/process/configuration_source.h"
#include "daemon/process/refusal_archive.h"
#include "daemon/process/router_core.h"
#include "net/http_server.h"

namespace ebonyvale {

/// HTTP server for `ebonyvalectl`. Requests need the admin token, except those
/// for health, readiness and metrics.
class admin_listener {
public:
  admin_listener(router_core &Core, configuration_source &Source);

  /// Sets the sources of other instances' refusals: the replicas held by
  /// \p Peers and the archive. Either may be null.
  void setRefusalSources(const peer_hub *Peers, refusal_archive *Archive);

  /// Binds the configured address. Fails with `SettingsInvalid` when it cannot
  /// be bound.
  std::optional<failure> listen();
  std::uint16_t port() const { return Server.port(); }

private:
  void onRequest(evhttp_request *Request);
  bool isAuthorized(evhttp_request *Request) const;
  void handleStatus(evhttp_request *Request);
  void handleUpstreams(evhttp_request *Request);
  using refusal_callback =
      std::function<void(const std::vector<refusal> &, std::string_view Store)>;

  /// Returns the refusals recorded here and the replicas held for peers.
  std::vector<refusal> localRefusals(const refusal_query &Query) const;
  /// Calls \p Done with the local and archived refusals that match \p Query and
  /// with the state of the store: "reached", "not reached" or "none".
  void collectRefusals(const refusal_query &Query, refusal_callback Done);
  void handleRefusals(evhttp_request *Request);
  void handleExplain(evhttp_request *Request);
  void handleNoteCheck(evhttp_request *Request);
  void handleNoteApply(evhttp_request *Request);
  static void sendFailure(evhttp_request *Request, const failure &Reason);

  router_core &Core;
  configuration_source &Source;
  const peer_hub *Peers = nullptr;
  refusal_archive *Archive = nullptr;
  http_server Server;
};

} // namespace ebonyvale

#endif

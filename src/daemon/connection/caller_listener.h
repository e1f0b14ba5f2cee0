/// \file
/// Serves the callers' API.
#ifndef EBONYVALE_DAEMON_CONNECTION_CALLER_LISTENER_H
#define EBONYVALE_DAEMON_CONNECTION_CALLER_LISTENER_H

#include "daemon/process/router_core.h"
#include "decisions/request/caller_check.h"
#include "net/http_server.h"

namespace ebonyvale {

/// HTTP server for callers. Authenticates each request, checks its size and
/// starts a session for it; requests that fail a check are refused.
class caller_listener {
public:
  explicit caller_listener(router_core &Core);

  /// Binds the configured address. Fails with `SettingsInvalid` when it cannot
  /// be bound.
  std::optional<failure> listen();
  std::uint16_t port() const { return Server.port(); }

  /// Closes the listening socket; open connections continue.
  void stopListening() { Server.stopListening(); }

private:
  void onRequest(evhttp_request *Request);
  void handleModels(evhttp_request *Request, const configuration &Config);

  /// Returns a raw HTTP response to a request that was not read to its end and
  /// records the refusal.
  std::string unreadResponse(arrival_failure Reason);
  std::optional<failure> checkSizes(evhttp_request *Request) const;
  void startModelSession(evhttp_request *Request,
                         const configuration_ptr &Config,
                         const caller_grant &Grant, buffer_lease Memory);
  void startPlainSession(evhttp_request *Request,
                         const configuration_ptr &Config,
                         const caller_grant &Grant, const route &Route,
                         buffer_lease Memory);
  void refuse(evhttp_request *Request, const failure &Reason,
              span_ns RetryAfter = span_ns(0));

  router_core &Core;
  http_server Server;
};

} // namespace ebonyvale

#endif

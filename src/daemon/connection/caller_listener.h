/// \file
/// Takes callers' requests and starts a session for each.
#ifndef EBONYVALE_DAEMON_CONNECTION_CALLER_LISTENER_H
#define EBONYVALE_DAEMON_CONNECTION_CALLER_LISTENER_H

#include "daemon/process/router_core.h"
#include "decisions/request/caller_check.h"
#include "net/http_server.h"

namespace ebonyvale {

/// The listener for callers.
class caller_listener {
public:
  explicit caller_listener(router_core &Core);

  std::optional<failure> listen();
  std::uint16_t port() const { return Server.port(); }
  void stopListening() { Server.stopListening(); }

private:
  void onRequest(evhttp_request *Request);
  void answerModels(evhttp_request *Request, const configuration &Config);
  std::string slowRequestAnswer();
  std::optional<failure> checkBounds(evhttp_request *Request) const;
  void startModelSession(evhttp_request *Request,
                         const configuration_ptr &Config,
                         const caller_grant &Grant);
  void startPlainSession(evhttp_request *Request,
                         const configuration_ptr &Config,
                         const caller_grant &Grant, const route &Route);
  void refuse(evhttp_request *Request, const failure &Reason);

  router_core &Core;
  http_server Server;
};

} // namespace ebonyvale

#endif

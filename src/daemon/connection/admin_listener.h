/// \file
/// The operators' listener: status, refusals and release notes as JSON.
#ifndef EBONYVALE_DAEMON_CONNECTION_ADMIN_LISTENER_H
#define EBONYVALE_DAEMON_CONNECTION_ADMIN_LISTENER_H

#include "daemon/connection/peer_hub.h"
#include "daemon/process/configuration_source.h"
#include "daemon/process/refusal_archive.h"
#include "daemon/process/router_core.h"
#include "net/http_server.h"

namespace ebonyvale {

/// Answers `ebonyvalectl`. Health, readiness and metrics need no credential.
class admin_listener {
public:
  admin_listener(router_core &Core, configuration_source &Source);

  /// Where refusals of other instances are found; null for nowhere.
  void setRefusalSources(const peer_hub *Peers, refusal_archive *Archive);

  std::optional<failure> listen();
  std::uint16_t port() const { return Server.port(); }

private:
  void onRequest(evhttp_request *Request);
  bool authorised(evhttp_request *Request) const;
  void answerStatus(evhttp_request *Request);
  void answerUpstreams(evhttp_request *Request);
  using refusal_callback =
      std::function<void(const std::vector<refusal> &, std::string_view Store)>;

  std::vector<refusal> refusalsHere(const refusal_query &Query) const;
  void withRefusals(const refusal_query &Query, refusal_callback Done);
  void answerRefusals(evhttp_request *Request);
  void answerExplain(evhttp_request *Request);
  void checkNote(evhttp_request *Request);
  void applyNoteFrom(evhttp_request *Request);
  static void sendFailure(evhttp_request *Request, const failure &Reason);

  router_core &Core;
  configuration_source &Source;
  const peer_hub *Peers = nullptr;
  refusal_archive *Archive = nullptr;
  http_server Server;
};

} // namespace ebonyvale

#endif

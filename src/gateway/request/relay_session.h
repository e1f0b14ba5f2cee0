/// \file
/// A request that this instance passes on to an upstream for a peer.
#ifndef EBONYVALE_GATEWAY_REQUEST_RELAY_SESSION_H
#define EBONYVALE_GATEWAY_REQUEST_RELAY_SESSION_H

#include "decisions/process/response_activity.h"
#include "gateway/process/gateway_core.h"
#include "gateway/request/relay_protocol.h"
#include "net/server_connection.h"

#include <memory>
#include <string>

namespace ebonyvale {

/// Sends one attempt of a peer to the upstream that the peer has chosen, and
/// passes the response back. Sends nothing to an upstream that this instance
/// itself may not send to. Keeps itself alive until the response has ended.
class relay_session final : public client_observer,
                            public end_waiter,
                            public verification_waiter,
                            public response_observer,
                            public std::enable_shared_from_this<relay_session> {
public:
  relay_session(gateway_core &Core, std::shared_ptr<server_connection> Peer,
                http_request Request);
  ~relay_session() override;

  void begin();

  // end_waiter
  void onEndJudged(end_verdict Verdict, end_proof Proof) override;

  // verification_waiter
  void onVerified(std::string_view Upstream) override;

  // client_observer
  void onClientDisconnected() override;
  void onClientDrained() override;

  // response_observer
  response_action onResponseHead(const http_head &Head,
                                 bool FirstOnConnection) override;
  void onResponseBody(std::string_view Bytes) override;
  void onResponseEnd() override;
  void onResponseLost(const exchange_loss &Loss) override;

private:
  /// Returns why the request must not be sent, if so.
  std::optional<relay_outcome> checkUpstream(instant Now) const;
  void send(instant Now);
  header_list responseHeaders() const;
  /// Ends the response to the peer with that of the upstream, which is
  /// complete.
  void completeResponse();
  void fail(relay_outcome Outcome);
  void finish(std::string_view Outcome);
  void onDeadline();

  gateway_core &Core;
  std::shared_ptr<server_connection> Peer;
  http_request Request;
  caller_request ParsedRequest;
  std::string Upstream;
  std::string Software; ///< that must run the request; empty: any may
  upstream_process Target;
  instant SentAt;
  response_activity Activity;
  std::shared_ptr<client_connection> Exchange;
  http_head Response;
  bool HeadReceived = false;
  bool Forwarding = false; ///< the peer has got the head of the response
  bool Ended = false;
  timer DeadlineTimer;
  std::shared_ptr<relay_session> Self; ///< set until the response has ended
};

/// Accepts the requests of peers. Those that name no upstream ask for a
/// document.
class relay_handler final : public request_handler {
public:
  explicit relay_handler(gateway_core &Core) : Core(Core) {}

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;
  void onConnectionShed(std::string_view Reason) override {
    Core.onConnectionShed(Reason);
  }

private:
  gateway_core &Core;
};

} // namespace ebonyvale

#endif

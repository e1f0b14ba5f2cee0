/// \file
/// One request of the gateway itself to an upstream.
#ifndef EBONYVALE_GATEWAY_CONNECTION_UPSTREAM_CALL_H
#define EBONYVALE_GATEWAY_CONNECTION_UPSTREAM_CALL_H

#include "gateway/process/gateway_core.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Sends an order or a request for a status report, limited in time.
/// Cancelled when it is destroyed.
class upstream_call final : public response_observer,
                            public std::enable_shared_from_this<upstream_call> {
public:
  static constexpr span_ns Timeout = std::chrono::milliseconds(450);

  /// Receives the response; \p Status is 0 if it is not complete. Called once,
  /// from the event loop.
  using callback = std::function<void(const std::shared_ptr<upstream_call> &,
                                      int Status, std::string_view Body)>;

  /// Records that the response states the start \p Start of the process that
  /// has sent it.
  void setServerStart(std::int64_t Start) const;
  /// Returns whether another process than the one asked has responded.
  bool isFromOtherProcess() const { return FromOtherProcess; }
  /// Returns whether the connection was refused, see `exchange_loss`.
  bool isRefused() const { return Refused; }
  /// Returns whether the connection ended without a response.
  bool isLost() const { return Lost; }
  /// Returns when the connection was opened, if that was before the call.
  std::optional<instant> connectedAt() const { return ConnectedAt; }

  upstream_call(gateway_core &Core, upstream_process Target, callback Done);
  ~upstream_call() override;

  void start(const client_request &Request, span_ns MaxTime = Timeout);

  // response_observer
  response_action onResponseHead(const http_head &Head,
                                 bool FirstOnConnection) override;
  void onResponseBody(std::string_view Bytes) override;
  void onResponseEnd() override;
  void onResponseLost(const exchange_loss &Loss) override;

private:
  void finish(int Result);

  gateway_core &Core;
  upstream_process Target;
  callback Done;
  timer Deadline;
  std::shared_ptr<client_connection> Link;
  std::weak_ptr<client_connection> Used; ///< also once the call has ended
  int Status = 0;
  bool FromOtherProcess = false;
  bool Refused = false;
  bool Lost = false;
  std::optional<instant> ConnectedAt;
  std::string Body;
};

} // namespace ebonyvale

#endif

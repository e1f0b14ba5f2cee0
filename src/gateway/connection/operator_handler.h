/// \file
/// The request handler of the readiness and metrics listeners.
#ifndef EBONYVALE_GATEWAY_CONNECTION_OPERATOR_HANDLER_H
#define EBONYVALE_GATEWAY_CONNECTION_OPERATOR_HANDLER_H

#include "gateway/process/gateway_core.h"
#include "gateway/process/refusal_writer.h"
#include "gateway/version/weights_task.h"
#include "net/server_connection.h"

#include <nlohmann/json.hpp>

namespace ebonyvale {

/// Serves readiness, metrics and the paths that `ebonyvalectl` reads: /status,
/// /upstreams, /refusals and /explain, in the format of the daemon's admin
/// listener. All paths are read-only, and no response contains a key.
class operator_handler final : public request_handler {
public:
  operator_handler(gateway_core &Core, const weights_task &Weights,
                   refusal_writer &Writer)
      : Core(Core), Weights(Weights), Writer(Writer) {}

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;

private:
  using rows = std::vector<nlohmann::json>;
  using rows_callback =
      std::function<void(const rows &Found, std::string_view Store)>;

  nlohmann::json makeStatus(instant Now);
  nlohmann::json makeUpstreams(instant Now);
  nlohmann::json makeCosts();

  /// Passes the matching refusals to \p Done: those in the store, and those of
  /// this process that have not been written yet. `Store` is "reached" or
  /// "not reached".
  void findRefusals(const refusal_query &Query, rows_callback Done);
  void sendRefusals(const std::shared_ptr<server_connection> &Link,
                    std::string_view Query);
  void sendExplanation(const std::shared_ptr<server_connection> &Link,
                       std::string_view Query);

  gateway_core &Core;
  const weights_task &Weights;
  refusal_writer &Writer;
};

} // namespace ebonyvale

#endif

/// \file
/// What a gateway answers on its readiness and metrics listeners.
#ifndef EBONYVALE_GATEWAY_CONNECTION_OPERATOR_ANSWERS_H
#define EBONYVALE_GATEWAY_CONNECTION_OPERATOR_ANSWERS_H

#include "gateway/process/gateway_core.h"
#include "gateway/process/refusal_writer.h"
#include "gateway/version/weights_task.h"
#include "net/server_connection.h"

#include <nlohmann/json.hpp>

namespace ebonyvale {

/// Readiness, metrics, and the reads of `ebonyvalectl` in the form of the
/// daemon's own listener: /status, /upstreams, /refusals and /explain. All of
/// them only read, and none shows a key.
class operator_answers final : public request_handler {
public:
  operator_answers(gateway_core &Core, const weights_task &Weights,
                   refusal_writer &Writer)
      : Core(Core), Weights(Weights), Writer(Writer) {}

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;

private:
  using rows = std::vector<nlohmann::json>;
  using rows_callback =
      std::function<void(const rows &Found, std::string_view Store)>;

  nlohmann::json statusOf(instant Now);
  nlohmann::json upstreamsOf(instant Now);
  void withRefusals(const refusal_query &Query, rows_callback Done);
  void answerRefusals(const std::shared_ptr<server_connection> &Link,
                      std::string_view Query);
  void answerExplain(const std::shared_ptr<server_connection> &Link,
                     std::string_view Query);

  gateway_core &Core;
  const weights_task &Weights;
  refusal_writer &Writer;
};

} // namespace ebonyvale

#endif

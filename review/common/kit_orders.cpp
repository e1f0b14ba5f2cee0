#include "common/kit_orders.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

using nlohmann::json;

std::string kitConfiguration(int TimeoutMs) {
  const auto Route = [TimeoutMs](const char *Name, const char *Prefix,
                                 const char *Type, int Attempts) {
    return json{{"name", Name},
                {"hostname", KitHost},
                {"prefix", Prefix},
                {"routeType", Type},
                {"timeoutMs", TimeoutMs},
                {"targetLatencyMs", 200},
                {"backend", "kit-orders"},
                {"maxAttempts", Attempts}};
  };
  return json{{"version", 1},
              {"routes",
               {Route("order-place", "/order/", "unsafe", 1),
                Route("stock-read", "/stock/", "safe", 2)}},
              {"services",
               {{{"name", "kit-orders"},
                 {"healthPath", "/health"},
                 {"maxConnections", 110}}}},
              {"limits",
               {{"headerBytes", 16384},
                {"bodyBytes", 4194304},
                {"headerTimeoutMs", 5000},
                {"idleTimeoutMs", 10000}}}}
      .dump();
}

client_request kitRequest(const stand_gateway &Gateway, std::string_view Id,
                          std::string_view Method, std::string_view Target,
                          std::string_view Body, int DeadlineMs) {
  client_request Request;
  Request.Server = Gateway.callers();
  Request.Method = Method;
  Request.Target = Target;
  Request.Headers.add("Host", KitHost);
  Request.Headers.add("Ebonyvale-Request-Id", Id);
  Request.Headers.add("Ebonyvale-Deadline-Ms", fmt::format("{}", DeadlineMs));
  Request.Body = Body;
  return Request;
}

} // namespace ebonyvale

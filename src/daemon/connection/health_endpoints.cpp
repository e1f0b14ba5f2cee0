#include "daemon/connection/health_endpoints.h"

namespace ebonyvale {

bool serveHealthEndpoint(evhttp_request *Request, router_core &Core,
                         bool WithMetrics) {
  const std::string_view Path = requestPath(Request);
  if (Path == "/healthz") {
    sendResponse(Request, 200, "text/plain", "ok\n");
    return true;
  }
  if (Path == "/readyz") {
    const bool Ready = Core.ready();
    sendResponse(Request, Ready ? 200 : 503, "text/plain",
                 Ready ? "ready\n" : "not ready\n");
    return true;
  }
  if (Path == "/metrics" && WithMetrics) {
    const caller_memory &Memory = Core.callerMemory();
    metrics &Counters = Core.counters();
    Counters.CallerMemoryBytes.Set(static_cast<double>(Memory.used()));
    Counters.CallerConnections.Set(static_cast<double>(Memory.connections()));
    Counters.MemoryRefusals.Set(static_cast<double>(Memory.refusals()));
    Counters.MemoryReleases.Set(static_cast<double>(Memory.releases()));
    sendResponse(Request, 200, "text/plain; version=0.0.4",
                 Core.counters().text());
    return true;
  }
  return false;
}

} // namespace ebonyvale

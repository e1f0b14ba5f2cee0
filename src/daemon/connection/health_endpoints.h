/// \file
/// Endpoints for health, readiness and metrics, shared by all HTTP listeners.
#ifndef EBONYVALE_DAEMON_CONNECTION_HEALTH_ENDPOINTS_H
#define EBONYVALE_DAEMON_CONNECTION_HEALTH_ENDPOINTS_H

#include "daemon/process/router_core.h"
#include "net/http_server.h"

namespace ebonyvale {

/// Responds to `/healthz`, `/readyz` and, if \p WithMetrics, `/metrics`.
/// Returns false, without a response, for any other path.
bool serveHealthEndpoint(evhttp_request *Request, router_core &Core,
                         bool WithMetrics);

} // namespace ebonyvale

#endif

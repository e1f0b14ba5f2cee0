/// \file
/// Health, readiness and metrics, the same on every listener.
#ifndef EBONYVALE_DAEMON_CONNECTION_HEALTH_ANSWERS_H
#define EBONYVALE_DAEMON_CONNECTION_HEALTH_ANSWERS_H

#include "daemon/process/router_core.h"
#include "net/http_server.h"

namespace ebonyvale {

/// Answers `/healthz`, `/readyz` and, if \p WithMetrics, `/metrics`. False for
/// any other path.
bool answerHealth(evhttp_request *Request, router_core &Core, bool WithMetrics);

} // namespace ebonyvale

#endif

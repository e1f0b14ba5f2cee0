/// \file
/// Formats refusals for callers, as responses and as stream events.
#ifndef EBONYVALE_DAEMON_CONNECTION_REFUSAL_REPLY_H
#define EBONYVALE_DAEMON_CONNECTION_REFUSAL_REPLY_H

#include "common/instant.h"
#include "decisions/process/refusal_log.h"
#include "net/response_writer.h"

namespace ebonyvale {

/// Sends \p Refusal as a complete response with the status, headers and body of
/// its kind. \p RetryAfter sets the `Retry-After` header for kinds whose delay
/// is computed per request.
void sendRefusal(response_writer &Reply, const refusal &Refusal,
                 span_ns RetryAfter);

/// Returns the `error` event that ends an interrupted event stream.
std::string streamErrorEvent(const refusal &Refusal);

} // namespace ebonyvale

#endif

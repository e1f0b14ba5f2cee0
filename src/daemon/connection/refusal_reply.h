/// \file
/// Sends refusals to callers.
#ifndef EBONYVALE_DAEMON_CONNECTION_REFUSAL_REPLY_H
#define EBONYVALE_DAEMON_CONNECTION_REFUSAL_REPLY_H

#include "common/instant.h"
#include "decisions/process/refusal_ledger.h"
#include "net/response_writer.h"

namespace ebonyvale {

/// Sends \p Refusal as a whole answer with the status, headers and body of its
/// kind. \p RetryAfter is used where the kind's advice is computed.
void sendRefusal(response_writer &Reply, const refusal &Refusal,
                 span_ns RetryAfter);

/// The event that marks a stream as broken off.
std::string interruptionEvent(const refusal &Refusal);

} // namespace ebonyvale

#endif

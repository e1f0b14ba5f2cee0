/// \file
/// The response body of a refusal, which is the same on every route.
#ifndef EBONYVALE_DECISIONS_REQUEST_REFUSAL_BODY_H
#define EBONYVALE_DECISIONS_REQUEST_REFUSAL_BODY_H

#include "decisions/process/refusal_log.h"

#include <optional>
#include <string>

namespace ebonyvale {

/// Returns the seconds for the `retry-after` header of a refusal of \p Kind, or
/// nothing if a retry cannot succeed. \p Computed is the delay computed for
/// this refusal; kinds with a fixed delay ignore it.
std::optional<int> retryAfterSeconds(error_kind Kind, span_ns Computed);

/// Returns a JSON object whose `error` member has the form that OpenAI clients
/// read, extended by `kind`, `reference`, `instant` and `ran`.
std::string refusalBody(const refusal &Refusal);

/// Formats \p Time as RFC 3339 in UTC with milliseconds.
std::string formatInstant(wall_ms Time);

} // namespace ebonyvale

#endif

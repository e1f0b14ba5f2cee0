/// \file
/// The body of a refusal, the same on every route.
#ifndef EBONYVALE_DECISIONS_REQUEST_REFUSAL_BODY_H
#define EBONYVALE_DECISIONS_REQUEST_REFUSAL_BODY_H

#include "decisions/process/refusal_log.h"

#include <optional>
#include <string>

namespace ebonyvale {

/// Seconds for the `retry-after` header of a refusal of \p Kind, or nothing.
/// \p Computed is the decision's own figure.
std::optional<int> retryAfterSeconds(error_kind Kind, span_ns Computed);

/// JSON object with an `error` member in the form that OpenAI clients read,
/// extended by `kind`, `reference`, `instant` and `ran`.
std::string refusalBody(const refusal &Refusal);

/// Civil time as RFC 3339 with milliseconds in UTC.
std::string formatInstant(wall_ms Time);

} // namespace ebonyvale

#endif

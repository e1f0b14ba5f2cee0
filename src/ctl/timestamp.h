/// \file
/// Timestamps on the command line and in log lines.
#ifndef EBONYVALE_CTL_TIMESTAMP_H
#define EBONYVALE_CTL_TIMESTAMP_H

#include "common/instant.h"

#include <optional>
#include <string>

namespace ebonyvale {

/// Parses RFC 3339 in UTC, such as "2026-01-31T12:00:00Z" with an optional
/// fraction of a second, or milliseconds since the epoch. Returns nothing for
/// any other text.
std::optional<wall_ms> parseTimestamp(const std::string &Text);

} // namespace ebonyvale

#endif

/// \file
/// Instants as operators write them.
#ifndef EBONYVALE_CTL_INSTANT_TEXT_H
#define EBONYVALE_CTL_INSTANT_TEXT_H

#include "common/instant.h"

#include <optional>
#include <string>

namespace ebonyvale {

/// Reads RFC 3339 in UTC, "2026-01-31T12:00:00Z" with or without a fraction,
/// or milliseconds since the epoch.
std::optional<wall_ms> parseInstant(const std::string &Text);

} // namespace ebonyvale

#endif

/// \file
/// Division of the teams' limits over failure domains and instances.
#ifndef EBONYVALE_DECISIONS_PROCESS_DOMAIN_QUOTA_H
#define EBONYVALE_DECISIONS_PROCESS_DOMAIN_QUOTA_H

#include "decisions/version/configuration.h"

#include <string_view>

namespace ebonyvale {

/// Returns the quota share of one instance of \p Domain, as a fraction of every
/// team's rate and burst: the domain's weight relative to the sum of all
/// weights, divided by the domain's slots. Returns 0 for a domain that is not
/// configured, and 1 if no domain is configured, since the instance is then the
/// only one.
double instanceQuotaFraction(const configuration &Config,
                             std::string_view Domain);

} // namespace ebonyvale

#endif

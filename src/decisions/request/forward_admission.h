/// \file
/// Admission of forwarded requests by route, team key and freshness of the
/// configuration.
#ifndef EBONYVALE_DECISIONS_REQUEST_FORWARD_ADMISSION_H
#define EBONYVALE_DECISIONS_REQUEST_FORWARD_ADMISSION_H

#include "common/error_kind.h"
#include "decisions/process/freshness.h"
#include "decisions/process/refusal_log.h"
#include "decisions/process/upstream_scheduler.h"
#include "decisions/request/caller_request.h"
#include "decisions/version/routing_table.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Why a request is refused and when a retry may succeed.
struct forward_refusal {
  error_kind Kind{};
  std::string Detail;
  span_ns RetryAfter{0}; ///< zero if a retry cannot succeed
  quota_figures Figures{};
};

/// The outcome of admission: a refusal, or a route and, where a key is needed,
/// its team. Both pointers are owned by the routing table.
struct admission {
  std::optional<forward_refusal> Refusal;
  const forward_route *Route = nullptr;
  const team_entry *Team = nullptr;
};

/// The state that admission depends on.
struct admission_context {
  const routing_table *Routing = nullptr; ///< null until a version is read
  const freshness &Freshness;
  const freshness_options &Options;
  std::string_view KeySecret; ///< secret of the table's keyed hashes
};

/// Admits or refuses \p Request. A key is accepted only while the configuration
/// is fresh enough that a withdrawal would be known. A route or key is reported
/// as unknown only while the configuration is fresh enough that a new one would
/// be known; otherwise the refusal is NotReady.
admission admitForward(const admission_context &Context,
                       const caller_request &Request, instant Now);

/// Returns the cost of \p Request against the limits of \p Team: its tokens, or
/// 1 if the limits count requests.
double limitCost(const team_entry &Team, const caller_request &Request);

/// Returns the scope that cached prompts are shared in: the team itself if its
/// cache is isolated in \p Routing or it is not part of \p Routing, or
/// else the scope common to all other teams. \p Team is of \p Routing or of an
/// earlier version, and null for requests without a key. Empty for requests
/// without prompt segments.
std::string cacheScope(const routing_table &Routing, const team_entry *Team,
                       const caller_request &Request);

/// Returns the prompt segments, each identified by a hash over \p Scope, the
/// model, all preceding segments and its own name.
std::vector<prompt_segment> promptSegments(std::string_view Scope,
                                           const caller_request &Request);

} // namespace ebonyvale

#endif

/// \file
/// Whether a request may run: its route, its team's key, and how far what is
/// known of the configuration reaches.
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

/// Why a request is not served, and when it may be.
struct forward_refusal {
  error_kind Kind{};
  std::string Detail;
  span_ns RetryAfter{0}; ///< zero: coming back cannot help
  quota_figures Figures{};
};

/// The outcome: either a refusal or a route, with the team on routes that need
/// a key. Both pointers belong to the routing table.
struct admission {
  std::optional<forward_refusal> Refusal;
  const forward_route *Route = nullptr;
  const team_entry *Team = nullptr;
};

/// What is judged by.
struct admission_view {
  const routing_table *Routing = nullptr; ///< null before the first version
  const freshness &Proof;
  const freshness_options &Terms;
  std::string_view KeySecret; ///< under which the table's keys are hashed
};

/// Admits or refuses. A key is used only while the configuration is proved, and
/// a route or a key is called unknown only while that is proved as well.
admission admitForward(const admission_view &View,
                       const caller_request &Request, instant Now);

/// What a request counts against its team's limits.
double limitCost(const team_entry &Team, const caller_request &Request);

/// The scope inside which cached prompts are shared: a team's own, or that of
/// all teams that share. Empty for requests without prompt parts.
std::string cacheScope(const team_entry *Team, const caller_request &Request);

/// The parts of the prompt, each named together with \p Scope, the model and
/// all parts before it.
std::vector<prompt_segment> promptParts(std::string_view Scope,
                                        const caller_request &Request);

} // namespace ebonyvale

#endif

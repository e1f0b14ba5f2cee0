// Whether an instance is ready, and why not.
#include "gateway/process/gateway_core.h"

#include <utility>

namespace ebonyvale {

std::string_view gateway_core::unreadyReason(instant Now) const {
  if (Leaving)
    return "leaving";
  if (!Routing)
    return "no_configuration";
  if (!RosterKnown)
    return "instances_unknown";
  if (Directory.all().empty())
    return "no_upstream";
  if (!ConfigFreshness.isFreshForKeys(Now, FreshnessOptions))
    return "configuration_not_confirmed";
  if (ConfigFreshness.isReplaced(Now, FreshnessOptions))
    return "configuration_replaced";
  return {};
}

void gateway_core::recordReadiness(instant Now) {
  const std::string_view Reason = unreadyReason(Now);
  if (std::exchange(RecordedReason, Reason) == Reason)
    return;
  if (Reason.empty())
    Log.info(event_category::Process, "ready", {{"after_ms", Now - Started}});
  else
    Log.info(event_category::Process, "not_ready",
             {{"reason", Reason}, {"after_ms", Now - Started}});
}

} // namespace ebonyvale

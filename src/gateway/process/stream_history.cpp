// What can have begun a stream, by the configurations and the listings of
// upstreams that this instance and its peers know.
#include "gateway/process/gateway_core.h"

#include "decisions/process/stream_origins.h"

namespace ebonyvale {

void gateway_core::onFirstInstance() {
  RoutingHistory.onFirstInstance();
  SoftwareHistory.onFirstInstance();
}

// A caller may resume a stream several times, so the timeout of the route does
// not bound its age. Others may still have followed what was replaced.
span_ns gateway_core::originPeriod() const {
  return stream_origins::KeepFor + FreshnessOptions.MaxApplyDelay;
}

std::optional<std::uint64_t>
gateway_core::versionToAskAbout(instant Now) const {
  const std::uint64_t Version = RoutingHistory.oldestVersion();
  const instant Since = Now - originPeriod();
  const auto NoneBefore = RoutingHistory.noneBefore(Version);
  if (!NoneBefore ||
      (*NoneBefore <= Since && SoftwareHistory.knowsOrigins(Since)))
    return std::nullopt;
  return Version;
}

stream_history gateway_core::historySince(std::uint64_t Version,
                                          instant Now) const {
  stream_history Known;
  Known.Version = Version;
  const auto Age = ConfigFreshness.age(Now);
  if (Age && *Age < FreshnessOptions.MaxApplyDelay)
    Known.NoneBefore = RoutingHistory.noneBefore(Version);
  if (UpstreamsConfirmedAt &&
      Now - *UpstreamsConfirmedAt < FreshnessOptions.MaxApplyDelay)
    Known.Software = SoftwareHistory.soleVersions();
  return Known;
}

void gateway_core::onPeerHistory(const stream_history &Known, instant AskedAt) {
  if (Known.NoneBefore && RoutingGapAt < AskedAt)
    RoutingHistory.onPeerKnows(Known.Version, *Known.NoneBefore);
  if (UpstreamsListedAt < AskedAt)
    for (const software_history::sole_version &Sole : Known.Software)
      SoftwareHistory.onPeerKnows(Sole);
}

std::optional<std::string> gateway_core::onlySoftware(std::string_view Service,
                                                      instant Now) const {
  const bool IsFresh =
      UpstreamsConfirmedAt &&
      Now - *UpstreamsConfirmedAt < FreshnessOptions.MaxApplyDelay;
  if (!IsFresh || originPeriod() > software_history::Memory)
    return std::nullopt;
  return SoftwareHistory.onlyOrigin(Service, Now - originPeriod());
}

bool gateway_core::ledOnlyTo(std::string_view Service, std::string_view Host,
                             std::string_view Path, instant Now) const {
  const auto Age = ConfigFreshness.age(Now);
  return Age && *Age < FreshnessOptions.MaxApplyDelay &&
         originPeriod() <= routing_history::Memory &&
         RoutingHistory.longestTimeout(Host, Path) <= stream_origins::KeepFor &&
         RoutingHistory.ledOnlyTo(Service, Host, Path, Now - originPeriod());
}

} // namespace ebonyvale

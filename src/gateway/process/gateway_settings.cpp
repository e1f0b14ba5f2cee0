#include "gateway/process/gateway_settings.h"

#include "common/settings_loader.h"

#include <algorithm>
#include <array>

namespace ebonyvale {
namespace {

constexpr std::int64_t MaxMs = 3'600'000;
/// Largest bound that a contract may state; still far from overflow in ns.
constexpr std::int64_t MaxBoundMs = 1'000'000'000;
constexpr std::int64_t MaxBoundSeconds = 1'000'000;
constexpr std::int64_t MaxCount = 1'000'000'000;

using setting = field<gateway_settings>;

constexpr field_rule text(std::string_view Name, std::string_view Description) {
  return {.Name = Name, .Description = Description};
}

constexpr field_rule millis(std::string_view Name, std::string_view Description,
                            std::int64_t Min = 1) {
  return {.Name = Name,
          .Description = Description,
          .Unit = "ms",
          .Min = Min,
          .Max = MaxMs};
}

/// A bound in ms that the platform states, possibly zero or with a fraction.
constexpr field_rule bound(std::string_view Name, std::string_view Description,
                           rounding Rounding = rounding::Down) {
  return {.Name = Name,
          .Description = Description,
          .Unit = "ms",
          .Max = MaxBoundMs,
          .Rounding = Rounding};
}

constexpr field_rule seconds(std::string_view Name,
                             std::string_view Description) {
  return {.Name = Name,
          .Description = Description,
          .Unit = "s",
          .Max = MaxBoundSeconds};
}

constexpr field_rule ratio(std::string_view Name,
                           std::string_view Description) {
  return {.Name = Name, .Description = Description, .Max = MaxCount};
}

constexpr field_rule count(std::string_view Name, std::string_view Description,
                           std::string_view Unit,
                           rounding Rounding = rounding::Reject) {
  return {.Name = Name,
          .Description = Description,
          .Unit = Unit,
          .Max = MaxCount,
          .Rounding = Rounding};
}

const std::array Fields{
    setting{text("instance.name", "Name of the instance, unique in the fleet."),
            &gateway_settings::InstanceName},
    setting{text("instance.domain", "Failure domain of the instance."),
            &gateway_settings::Domain},
    setting{text("instance.domains",
                 "All failure domains, each as \"domain=region\"."),
            &gateway_settings::Domains},
    setting{text("listen.callers", "Endpoint for callers."),
            &gateway_settings::CallerEndpoint},
    setting{text("listen.ready", "Endpoint of the readiness probe."),
            &gateway_settings::ReadyEndpoint},
    setting{text("listen.peers", "UDP and TCP endpoint for other instances."),
            &gateway_settings::PeerEndpoint},
    setting{text("listen.metrics", "Endpoint of /metrics; empty: none."),
            &gateway_settings::MetricsEndpoint},
    setting{{.Name = "store.endpoint",
             .Description = "Endpoint of the platform's store.",
             .Required = true},
            &gateway_settings::StoreEndpoint},
    setting{millis("store.call_timeout_ms",
                   "Time until a response of the store begins, and between "
                   "its parts."),
            &gateway_settings::StoreCallTimeoutMs},
    setting{millis("store.watch_pause_ms",
                   "Pause between two watch calls; changes within it arrive "
                   "together. 0: about an eighth of bounds.apply_ms.",
                   0),
            &gateway_settings::StoreWatchPauseMs},
    setting{millis("store.read_interval_ms",
                   "Time between reads that confirm the configuration. "
                   "0: derived from bounds.apply_ms and bounds.key_ms.",
                   0),
            &gateway_settings::StoreReadIntervalMs},
    setting{millis("store.lease_ms",
                   "Duration of the lease of the instance's presence."),
            &gateway_settings::LeaseDurationMs},
    setting{millis("store.claim_lease_ms",
                   "Duration of the lease of the weights issuer's claim."),
            &gateway_settings::ClaimLeaseMs},
    setting{millis("store.refusal_interval_ms",
                   "Minimum time between two writes of refusals; longer in a "
                   "large fleet."),
            &gateway_settings::RefusalIntervalMs},
    setting{bound("bounds.key_ms",
                  "Time after which requests with a withdrawn key are "
                  "refused."),
            &gateway_settings::KeyBoundMs},
    setting{bound("bounds.apply_ms",
                  "Time within which an accepted version is in force."),
            &gateway_settings::ApplyBoundMs},
    setting{bound("bounds.transit_ms",
                  "Longest time of a message on its way to an upstream.",
                  rounding::Up),
            &gateway_settings::TransitMs},
    setting{bound("bounds.issuer_ms",
                  "Minimum time between orders of two issuers.", rounding::Up),
            &gateway_settings::IssuerHandoverMs},
    setting{bound("bounds.weights_ms",
                  "Time after which no request starts on outdated weights."),
            &gateway_settings::WeightsBoundMs},
    setting{seconds("stop.grace_s", "Time from SIGTERM to a forced exit."),
            &gateway_settings::StopGraceSeconds},
    setting{ratio("retries.ratio", "Retries allowed for each request."),
            &gateway_settings::RetryRatio},
    setting{count("retries.slack",
                  "Additional retries in a window, fleet-wide.", "requests",
                  rounding::Down),
            &gateway_settings::RetrySlack},
    setting{seconds("retries.window_s", "Window of the retry budget."),
            &gateway_settings::RetryWindowSeconds},
    setting{ratio("limits.excess",
                  "Tolerated excess over a team's limit, as a fraction of it."),
            &gateway_settings::LimitExcess},
    setting{count("limits.slack",
                  "Additional tolerated excess in a window, fleet-wide.",
                  "tokens", rounding::Down),
            &gateway_settings::LimitSlackTokens},
    setting{{.Name = "releases.expose_share",
             .Description = "Share of a service's requests that may reach a "
                            "version which is not proven. 0: orders of "
                            "releases are not carried out.",
             .Max = 1},
            &gateway_settings::ExposeShare},
    setting{count("releases.canary_slack",
                  "Additional requests that may reach such a version, "
                  "fleet-wide.",
                  "requests", rounding::Down),
            &gateway_settings::CanarySlack},
    setting{bound("releases.rollback_ms",
                  "Time after which a version that has failed 50 requests gets "
                  "no more."),
            &gateway_settings::RollbackMs},
    setting{{.Name = "engines.prefill_tokens_per_ms",
             .Description = "Prefill speed of an engine.",
             .Unit = "tokens/ms",
             .Min = 1,
             .Max = MaxCount},
            &gateway_settings::PrefillTokensPerMs},
    setting{
        count("placement.recompute_weight",
              "Weight of the cost to prefill a shared prompt segment again.",
              ""),
        &gateway_settings::RecomputeWeight},
    setting{count("placement.fetch_weight",
                  "Weight of the cost to copy a segment between engines.", ""),
            &gateway_settings::FetchWeight},
    setting{count("placement.engines_per_first_part",
                  "Engines that prefill prompts with the same first segment.",
                  "engines"),
            &gateway_settings::EnginesPerFirstSegment},
    setting{millis("placement.region_ms",
                   "Cost of an upstream in another region.", 0),
            &gateway_settings::RegionMs},
    setting{millis("placement.old_weights_ms",
                   "Cost of an engine whose weights are outdated.", 0),
            &gateway_settings::OldWeightsMs},
    setting{{.Name = "costs.learned",
             .Description =
                 "Services for which learned costs and speeds replace the "
                 "configured ones; stated: those whose upstreams state a "
                 "slowness, and all with the feature \"pressure\".",
             .Choices = "off|stated|on"},
            &gateway_settings::LearnedCosts},
    setting{count("weights.at_once",
                  "Engines that load weights at the same time.", "engines"),
            &gateway_settings::MaxWeightLoads},
    setting{millis("weights.pause_lead_ms",
                   "Pause of new requests before an engine loads weights.", 0),
            &gateway_settings::PauseLeadMs},
    setting{millis("peers.interval_ms", "Time between load messages to peers."),
            &gateway_settings::PeerIntervalMs},
    setting{{.Name = "memory.response_buffer_mb",
             .Description = "Bytes of responses that are buffered, of all "
                            "requests together.",
             .Unit = "MB",
             .Min = 1,
             .Max = MaxCount},
            &gateway_settings::ResponseBufferMb},
    setting{
        text("features.enabled",
             "Optional features that are on: \"pressure\" divides room that "
             "is short. Unknown names are ignored."),
        &gateway_settings::Features},
    setting{{.Name = "memory.limit_mb",
             .Description = "Memory that the process may use; connections of "
                            "clients hold up to a quarter. 0: that of the "
                            "machine.",
             .Unit = "MB",
             .Max = MaxCount},
            &gateway_settings::MemoryLimitMb},
    setting{{.Name = "memory.descriptors",
             .Description = "Descriptors that the process may use; connections "
                            "of clients take up to three quarters. 0: the "
                            "system's limit.",
             .Unit = "descriptors",
             .Max = MaxCount},
            &gateway_settings::MaxDescriptors},
    setting{{.Name = "log.level",
             .Description = "Minimum level of logged lines.",
             .Choices = "trace|debug|info|warning|error|off"},
            &gateway_settings::LogLevel},
    setting{
        count("log.lines_per_second",
              "Limit of log lines about requests; dropped lines are counted.",
              "lines"),
        &gateway_settings::LogLinesPerSecond},
};

/// Returns \p Millis as an interval of store calls. It is not below a minimum,
/// so that a bound near zero causes no continuous calls.
span_ns storeInterval(double Millis) {
  constexpr double MinMillis = 50;
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::max(MinMillis, Millis)));
}

/// Returns the smaller one of the bounds on the age of the configuration, in
/// ms.
double tighterBound(const gateway_settings &Settings) {
  return static_cast<double>(
      std::min(Settings.ApplyBoundMs, Settings.KeyBoundMs));
}

} // namespace

std::span<const field<gateway_settings>> gatewaySettingFields() {
  return Fields;
}

result<gateway_settings>
loadGatewaySettings(const std::string &Path,
                    const std::vector<std::string> &Overrides) {
  gateway_settings Settings;
  const auto Bound = bindFields(gatewaySettingFields(), Settings);
  if (auto Problem = loadSettings(Path, Overrides, Bound))
    return *Problem;
  return Settings;
}

bool hasPressure(const gateway_settings &Settings) {
  return std::ranges::find(Settings.Features, "pressure") !=
         Settings.Features.end();
}

span_ns watchPause(const gateway_settings &Settings) {
  // A failed call with its timeout, the next call and two polls of peers still
  // fit into the bound.
  constexpr double FractionOfBound = 0.12;
  if (Settings.StoreWatchPauseMs > 0)
    return std::chrono::milliseconds(Settings.StoreWatchPauseMs);
  return storeInterval(FractionOfBound *
                       static_cast<double>(Settings.ApplyBoundMs));
}

span_ns readInterval(const gateway_settings &Settings) {
  constexpr double FractionOfApplyBound = 0.3;
  constexpr double FractionOfKeyBound = 0.24;
  if (Settings.StoreReadIntervalMs > 0)
    return std::chrono::milliseconds(Settings.StoreReadIntervalMs);
  const double Millis = std::min(
      FractionOfApplyBound * static_cast<double>(Settings.ApplyBoundMs),
      FractionOfKeyBound * static_cast<double>(Settings.KeyBoundMs));
  return storeInterval(Millis);
}

span_ns maxReadAge(const gateway_settings &Settings) {
  constexpr double FractionOfBound = 0.3;
  return readInterval(Settings) +
         storeInterval(FractionOfBound * tighterBound(Settings));
}

span_ns pollInterval(const gateway_settings &Settings) {
  constexpr double FractionOfBound = 0.1;
  return storeInterval(FractionOfBound * tighterBound(Settings));
}

span_ns pollTimeout(const gateway_settings &Settings) {
  constexpr double FractionOfBound = 0.06;
  return storeInterval(FractionOfBound * tighterBound(Settings));
}

std::map<std::string, std::string>
regionsOf(const std::vector<std::string> &Domains) {
  std::map<std::string, std::string> Regions;
  for (const std::string &Entry : Domains)
    if (const std::size_t Equals = Entry.find('='); Equals != std::string::npos)
      Regions[Entry.substr(0, Equals)] = Entry.substr(Equals + 1);
  return Regions;
}

} // namespace ebonyvale

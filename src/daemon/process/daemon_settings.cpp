#include "daemon/process/daemon_settings.h"

#include "common/settings_loader.h"
#include "decisions/process/placement.h"

#include <array>

namespace ebonyvale {
namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxHeaderBytes = 60 * 1024;
constexpr std::int64_t MaxBodyBytes = 256 * 1024 * 1024;
constexpr std::int64_t MaxMs = 3'600'000;
constexpr std::int64_t MaxRetentionMinutes = 90 * 24 * 60;

using setting = field<daemon_settings>;

const std::array Fields{
    setting{{.Name = "instance.name",
             .Description = "Name of the instance, unique in the fleet."},
            &daemon_settings::InstanceName},
    setting{{.Name = "instance.domain",
             .Description = "Failure domain of the instance."},
            &daemon_settings::Domain},
    setting{{.Name = "instance.region",
             .Description = "Region of the failure domain."},
            &daemon_settings::Region},
    setting{{.Name = "listen.caller_address",
             .Description = "IP address for callers."},
            &daemon_settings::CallerAddress},
    setting{{.Name = "listen.caller_port",
             .Description = "Port for callers; 0 takes a free one.",
             .Max = MaxPort},
            &daemon_settings::CallerPort},
    setting{{.Name = "listen.admin_address",
             .Description = "IP address for operators."},
            &daemon_settings::AdminAddress},
    setting{{.Name = "listen.admin_port",
             .Description = "Port for operators; 0 takes a free one.",
             .Max = MaxPort},
            &daemon_settings::AdminPort},
    setting{{.Name = "listen.peer_address",
             .Description = "IP address for other instances."},
            &daemon_settings::PeerAddress},
    setting{{.Name = "listen.peer_port",
             .Description = "Port for other instances; 0 takes a free one.",
             .Max = MaxPort},
            &daemon_settings::PeerPort},
    setting{{.Name = "listen.public_metrics",
             .Description = "Serve /metrics to callers as well."},
            &daemon_settings::PublicMetrics},
    setting{
        {.Name = "platform.address",
         .Description =
             "IP address of the platform's key-value service; empty for none."},
        &daemon_settings::PlatformAddress},
    setting{
        {.Name = "platform.port", .Description = "Its port.", .Max = MaxPort},
        &daemon_settings::PlatformPort},
    setting{{.Name = "platform.list_address",
             .Description =
                 "IP address of the platform's instance list; empty for none."},
            &daemon_settings::ListAddress},
    setting{{.Name = "platform.list_port",
             .Description = "Its port.",
             .Max = MaxPort},
            &daemon_settings::ListPort},
    setting{{.Name = "platform.prefix",
             .Description = "Prefix of this fleet's keys there."},
            &daemon_settings::PlatformPrefix},
    setting{{.Name = "configuration.file",
             .Description = "Release note that makes the first version where "
                            "no platform is set."},
            &daemon_settings::ConfigurationFile},
    setting{{.Name = "secrets.key_secret",
             .Description = "Secret under which callers' keys are hashed; the "
                            "same on every instance.",
             .Required = true,
             .Secret = true},
            &daemon_settings::KeySecret},
    setting{{.Name = "secrets.admin_token",
             .Description = "Credential of the admin listener.",
             .Required = true,
             .Secret = true},
            &daemon_settings::AdminToken},
    setting{{.Name = "secrets.fleet_secret",
             .Description = "Credential between instances.",
             .Required = true,
             .Secret = true},
            &daemon_settings::FleetSecret},
    setting{{.Name = "bounds.header_bytes",
             .Description = "Longest request header section.",
             .Unit = "bytes",
             .Min = 1024,
             .Max = MaxHeaderBytes},
            &daemon_settings::HeaderBytes},
    setting{{.Name = "bounds.body_bytes",
             .Description = "Longest request body.",
             .Unit = "bytes",
             .Min = 1024,
             .Max = MaxBodyBytes},
            &daemon_settings::BodyBytes},
    setting{{.Name = "bounds.answer_bytes",
             .Description = "Longest answer that is not a stream.",
             .Unit = "bytes",
             .Min = 1024,
             .Max = MaxBodyBytes},
            &daemon_settings::AnswerBytes},
    setting{
        {.Name = "bounds.stream_buffer_bytes",
         .Description =
             "Unsent bytes of a stream above which its upstream is not read.",
         .Unit = "bytes",
         .Min = 1024,
         .Max = MaxBodyBytes},
        &daemon_settings::StreamBufferBytes},
    setting{{.Name = "bounds.header_timeout_ms",
             .Description = "Longest time for a request to arrive.",
             .Unit = "ms",
             .Min = 1000,
             .Max = MaxMs},
            &daemon_settings::HeaderTimeoutMs},
    setting{{.Name = "placement.policy",
             .Description = "How engines are chosen.",
             .Choices = PlacementPolicyNames},
            &daemon_settings::PlacementPolicy},
    setting{{.Name = "placement.index_entries",
             .Description = "Pieces remembered.",
             .Unit = "pieces",
             .Min = 2,
             .Max = 100'000'000},
            &daemon_settings::IndexEntries},
    setting{{.Name = "queue.max_queued",
             .Description = "Requests that may wait before one upstream.",
             .Unit = "requests",
             .Min = 1,
             .Max = 1'000'000},
            &daemon_settings::MaxQueued},
    setting{
        {.Name = "limits.admission_wait_ms",
         .Description = "Longest wait for tokens before a request is refused.",
         .Unit = "ms",
         .Max = MaxMs},
        &daemon_settings::AdmissionWaitMs},
    setting{{.Name = "limits.start_tokens",
             .Description =
                 "Percentage of the instance's burst available at its first "
                 "start; above 0 only where no predecessor can have spent it.",
             .Unit = "percent",
             .Max = 100},
            &daemon_settings::StartTokens},
    setting{{.Name = "refusals.records",
             .Description = "Refusals kept in full.",
             .Unit = "records",
             .Min = 1,
             .Max = 10'000'000},
            &daemon_settings::RefusalRecords},
    setting{{.Name = "refusals.retention_minutes",
             .Description = "Age at which counts are dropped.",
             .Unit = "minutes",
             .Min = 1,
             .Max = MaxRetentionMinutes},
            &daemon_settings::RefusalRetentionMinutes},
    setting{{.Name = "stop.drain_lag_ms",
             .Description = "Time to go on accepting after readiness is off.",
             .Unit = "ms",
             .Max = MaxMs},
            &daemon_settings::DrainLagMs},
    setting{{.Name = "stop.drain_max_ms",
             .Description = "Longest time for running requests to end.",
             .Unit = "ms",
             .Max = MaxMs},
            &daemon_settings::DrainMaxMs},
    setting{{.Name = "log.format",
             .Description = "Form of log lines.",
             .Choices = "text|json"},
            &daemon_settings::LogFormat},
    setting{{.Name = "log.level",
             .Description = "Least level that is logged.",
             .Choices = "trace|debug|info|warning|error"},
            &daemon_settings::LogLevel},
    setting{{.Name = "trace.file",
             .Description =
                 "File or device to which spans are appended; empty for none."},
            &daemon_settings::TraceFile},
};

} // namespace

std::span<const field<daemon_settings>> daemonSettingFields() { return Fields; }

result<daemon_settings>
loadDaemonSettings(const std::string &Path,
                   const std::vector<std::string> &Overrides) {
  daemon_settings Settings;
  const auto Bound = bindFields(daemonSettingFields(), Settings);
  if (auto Problem = loadSettings(Path, Overrides, Bound))
    return *Problem;
  for (const bound_field &Field : Bound) {
    const auto *const *Text = std::get_if<std::string *>(&Field.Value);
    if (Field.Rule->Required && Text && (*Text)->empty())
      return failure{error_kind::SettingsInvalid,
                     "field '" + std::string(Field.Rule->Name) +
                         "': is required"};
  }
  return Settings;
}

} // namespace ebonyvale

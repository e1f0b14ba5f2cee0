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
constexpr std::int64_t MaxMb = 1'000'000;
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
             .Description = "IP address of the caller listener."},
            &daemon_settings::CallerAddress},
    setting{{.Name = "listen.caller_port",
             .Description = "Port of the caller listener; 0 picks a free port.",
             .Max = MaxPort},
            &daemon_settings::CallerPort},
    setting{{.Name = "listen.admin_address",
             .Description = "IP address of the admin listener."},
            &daemon_settings::AdminAddress},
    setting{{.Name = "listen.admin_port",
             .Description = "Port of the admin listener; 0 picks a free port.",
             .Max = MaxPort},
            &daemon_settings::AdminPort},
    setting{{.Name = "listen.peer_address",
             .Description = "IP address of the peer listener."},
            &daemon_settings::PeerAddress},
    setting{{.Name = "listen.peer_port",
             .Description = "Port of the peer listener; 0 picks a free port.",
             .Max = MaxPort},
            &daemon_settings::PeerPort},
    setting{{.Name = "listen.public_metrics",
             .Description = "Serve /metrics on the caller listener too."},
            &daemon_settings::PublicMetrics},
    setting{
        {.Name = "platform.address",
         .Description =
             "IP address of the platform's key-value service; empty for none."},
        &daemon_settings::PlatformAddress},
    setting{{.Name = "platform.port",
             .Description = "Port of the platform's key-value service.",
             .Max = MaxPort},
            &daemon_settings::PlatformPort},
    setting{{.Name = "platform.list_address",
             .Description =
                 "IP address of the platform's instance list; empty for none."},
            &daemon_settings::ListAddress},
    setting{{.Name = "platform.list_port",
             .Description = "Port of the platform's instance list.",
             .Max = MaxPort},
            &daemon_settings::ListPort},
    setting{{.Name = "platform.prefix",
             .Description =
                 "Prefix of this fleet's keys in the key-value service."},
            &daemon_settings::PlatformPrefix},
    setting{{.Name = "configuration.file",
             .Description = "File with the release note that creates the first "
                            "version; read only without a platform."},
            &daemon_settings::ConfigurationFile},
    setting{{.Name = "secrets.key_secret",
             .Description =
                 "Secret used to hash callers' keys; must be the same "
                 "on every instance.",
             .Required = true,
             .Secret = true},
            &daemon_settings::KeySecret},
    setting{{.Name = "secrets.admin_token",
             .Description = "Token that the admin listener requires.",
             .Required = true,
             .Secret = true},
            &daemon_settings::AdminToken},
    setting{{.Name = "secrets.fleet_secret",
             .Description = "Secret that instances present to each other.",
             .Required = true,
             .Secret = true},
            &daemon_settings::FleetSecret},
    setting{{.Name = "bounds.header_bytes",
             .Description = "Maximum size of a request's headers.",
             .Unit = "bytes",
             .Min = 1024,
             .Max = MaxHeaderBytes},
            &daemon_settings::HeaderBytes},
    setting{{.Name = "bounds.body_bytes",
             .Description = "Maximum size of a request body.",
             .Unit = "bytes",
             .Min = 1024,
             .Max = MaxBodyBytes},
            &daemon_settings::BodyBytes},
    setting{{.Name = "bounds.answer_bytes",
             .Description = "Maximum size of a response that is not a stream.",
             .Unit = "bytes",
             .Min = 1024,
             .Max = MaxBodyBytes},
            &daemon_settings::AnswerBytes},
    setting{{.Name = "bounds.stream_buffer_bytes",
             .Description = "Unsent bytes of a stream above which "
                            "reading from its upstream pauses.",
             .Unit = "bytes",
             .Min = 1024,
             .Max = MaxBodyBytes},
            &daemon_settings::StreamBufferBytes},
    setting{{.Name = "bounds.header_timeout_ms",
             .Description = "Timeout for receiving a request.",
             .Unit = "ms",
             .Min = 1000,
             .Max = MaxMs},
            &daemon_settings::HeaderTimeoutMs},
    setting{{.Name = "memory.limit_mb",
             .Description = "Memory that the process may use; connections of "
                            "clients hold up to a quarter. 0: that of the "
                            "machine.",
             .Unit = "MB",
             .Max = MaxMb},
            &daemon_settings::MemoryLimitMb},
    setting{{.Name = "memory.descriptors",
             .Description = "Descriptors that the process may use; connections "
                            "of clients take up to three quarters. 0: the "
                            "system's limit.",
             .Unit = "descriptors",
             .Max = 1'000'000},
            &daemon_settings::MaxDescriptors},
    setting{{.Name = "placement.policy",
             .Description = "Policy that chooses the engine for a request.",
             .Choices = PlacementPolicyNames},
            &daemon_settings::PlacementPolicy},
    setting{{.Name = "placement.index_entries",
             .Description = "Maximum number of pieces in the prefix index.",
             .Unit = "pieces",
             .Min = 2,
             .Max = 100'000'000},
            &daemon_settings::IndexEntries},
    setting{
        {.Name = "queue.max_queued",
         .Description = "Maximum number of requests queued for one upstream.",
         .Unit = "requests",
         .Min = 1,
         .Max = 1'000'000},
        &daemon_settings::MaxQueued},
    setting{
        {.Name = "limits.admission_wait_ms",
         .Description =
             "Maximum time a request waits for tokens before it is refused.",
         .Unit = "ms",
         .Max = MaxMs},
        &daemon_settings::AdmissionWaitMs},
    setting{{.Name = "limits.start_tokens",
             .Description =
                 "Percentage of the instance's burst available at startup; set "
                 "above 0 only if no earlier process can have spent it.",
             .Unit = "percent",
             .Max = 100},
            &daemon_settings::StartTokens},
    setting{{.Name = "refusals.records",
             .Description = "Maximum number of refusal records kept in memory.",
             .Unit = "records",
             .Min = 1,
             .Max = 10'000'000},
            &daemon_settings::RefusalRecords},
    setting{{.Name = "refusals.retention_minutes",
             .Description = "Age at which refusal counts and archived refusals "
                            "are deleted.",
             .Unit = "minutes",
             .Min = 1,
             .Max = MaxRetentionMinutes},
            &daemon_settings::RefusalRetentionMinutes},
    setting{{.Name = "stop.drain_lag_ms",
             .Description = "Time to keep accepting requests after readiness "
                            "turns off.",
             .Unit = "ms",
             .Max = MaxMs},
            &daemon_settings::DrainLagMs},
    setting{{.Name = "stop.drain_max_ms",
             .Description = "Maximum time from a stop request until running "
                            "requests are aborted.",
             .Unit = "ms",
             .Max = MaxMs},
            &daemon_settings::DrainMaxMs},
    setting{{.Name = "log.format",
             .Description = "Format of log lines.",
             .Choices = "text|json"},
            &daemon_settings::LogFormat},
    setting{{.Name = "log.level",
             .Description = "Minimum level that is logged.",
             .Choices = "trace|debug|info|warning|error"},
            &daemon_settings::LogLevel},
    setting{{.Name = "trace.file",
             .Description = "File or device to which trace spans are appended; "
                            "empty for none."},
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

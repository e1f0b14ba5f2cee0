/// \file
/// Settings of a daemon process and the table that describes them.
#ifndef EBONYVALE_DAEMON_PROCESS_DAEMON_SETTINGS_H
#define EBONYVALE_DAEMON_PROCESS_DAEMON_SETTINGS_H

#include "common/field_table.h"
#include "common/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace ebonyvale {

/// Values of all settings. The settings file overrides the defaults below, and
/// the command line overrides the file. Units, ranges and descriptions are in
/// `daemonSettingFields`.
struct daemon_settings {
  std::string InstanceName = "instance-1";
  std::string Domain = "local";
  std::string Region = "local";

  std::string CallerAddress = "127.0.0.1";
  std::int64_t CallerPort = 8080;
  std::string AdminAddress = "127.0.0.1";
  std::int64_t AdminPort = 8081;
  std::string PeerAddress = "127.0.0.1";
  std::int64_t PeerPort = 8082;
  bool PublicMetrics = false;

  std::string PlatformAddress;
  std::int64_t PlatformPort = 0;
  std::string ListAddress;
  std::int64_t ListPort = 0;
  std::string PlatformPrefix = "/ebonyvale/";
  std::string ConfigurationFile;

  std::string KeySecret;
  std::string AdminToken;
  std::string FleetSecret;

  std::int64_t HeaderBytes = 16 * 1024;
  std::int64_t BodyBytes = 4 * 1024 * 1024;
  std::int64_t AnswerBytes = 16 * 1024 * 1024;
  std::int64_t StreamBufferBytes = 64 * 1024;
  std::int64_t HeaderTimeoutMs = 10000;
  std::int64_t MemoryLimitMb = 0;  ///< see `callerMemoryBytes`
  std::int64_t MaxDescriptors = 0; ///< see `maxCallerConnections`

  std::string PlacementPolicy = "prefix";
  std::int64_t IndexEntries = 400'000;
  std::int64_t MaxQueued = 1000;
  std::int64_t AdmissionWaitMs = 250;
  std::int64_t StartTokens = 0;

  std::int64_t RefusalRecords = 20000;
  std::int64_t RefusalRetentionMinutes = 24 * 60;

  std::int64_t DrainLagMs = 2000;
  std::int64_t DrainMaxMs = 60000;

  std::string LogFormat = "text";
  std::string LogLevel = "info";
  std::string TraceFile;
};

/// Returns the name, description, unit and range of each setting.
std::span<const field<daemon_settings>> daemonSettingFields();

/// Reads the file at \p Path, unless it is empty, and applies \p Overrides,
/// each "name=value". Fails with `SettingsInvalid` and one line for each
/// problem.
result<daemon_settings>
loadDaemonSettings(const std::string &Path,
                   const std::vector<std::string> &Overrides);

} // namespace ebonyvale

#endif

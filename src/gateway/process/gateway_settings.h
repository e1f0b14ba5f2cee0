/// \file
/// Settings of the gateway: the daemon as run on a platform that has its own
/// store, caller protocol and upstreams.
#ifndef EBONYVALE_GATEWAY_PROCESS_GATEWAY_SETTINGS_H
#define EBONYVALE_GATEWAY_PROCESS_GATEWAY_SETTINGS_H

#include "common/field_table.h"
#include "common/instant.h"
#include "common/result.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace ebonyvale {

/// Values of the settings. The command line overrides the file, which overrides
/// the defaults. Durations are in ms unless named otherwise; endpoints have the
/// form "IP:PORT".
struct gateway_settings {
  std::string InstanceName = "instance-1";
  std::string Domain = "local";
  std::vector<std::string> Domains; ///< "domain=region", for the whole fleet

  std::string CallerEndpoint = "127.0.0.1:8080";
  std::string ReadyEndpoint = "127.0.0.1:8081";
  std::string PeerEndpoint = "127.0.0.1:8082";
  std::string MetricsEndpoint;

  std::string StoreEndpoint;
  std::int64_t StoreCallTimeoutMs = 700;
  std::int64_t StoreWatchPauseMs = 0;   ///< see `watchPause`
  std::int64_t StoreReadIntervalMs = 0; ///< see `readInterval`
  std::int64_t LeaseDurationMs = 10000;
  std::int64_t ClaimLeaseMs = 2000;
  std::int64_t RefusalIntervalMs = 30000;

  std::int64_t KeyBoundMs = 5000;
  std::int64_t ApplyBoundMs = 2500;
  std::int64_t TransitMs = 200;
  std::int64_t IssuerHandoverMs = 3000;
  std::int64_t WeightsBoundMs = 10000;
  double StopGraceSeconds = 8;

  double RetryRatio = 0.2;
  std::int64_t RetrySlack = 50;
  double RetryWindowSeconds = 10;
  double LimitExcess = 0.1;
  std::int64_t LimitSlackTokens = 0;

  std::int64_t PrefillTokensPerMs = 80;
  std::int64_t RecomputeWeight = 4;
  std::int64_t FetchWeight = 1;
  std::int64_t EnginesPerFirstSegment = 3;
  std::int64_t RegionMs = 16;
  std::int64_t OldWeightsMs = 200;
  std::string LearnedCosts = "stated";
  std::int64_t MaxWeightLoads = 3;
  std::int64_t PauseLeadMs = 250;
  std::int64_t PeerIntervalMs = 60;

  std::int64_t ResponseBufferMb = 24;

  std::string LogLevel = "info";
  std::int64_t LogLinesPerSecond = 200;
};

/// Returns the table of all settings: name, description, unit and range.
std::span<const field<gateway_settings>> gatewaySettingFields();

/// Reads the file at \p Path, unless it is empty, and then \p Overrides, each
/// "name=value". Fails with `SettingsInvalid` and one line for each problem.
result<gateway_settings>
loadGatewaySettings(const std::string &Path,
                    const std::vector<std::string> &Overrides);

/// Returns the pause between two watch calls. Store calls are billed, so the
/// default is as long as `ApplyBoundMs` allows if one call fails.
span_ns watchPause(const gateway_settings &Settings);

/// Returns the time between reads of the operators' documents. The default
/// leaves time for a second read before the configuration is too old for any
/// bound.
span_ns readInterval(const gateway_settings &Settings);

/// Returns the largest age of the last read of the operators' documents, by the
/// store or through a peer, at which an instance still relies on its peers.
span_ns maxReadAge(const gateway_settings &Settings);

/// Returns the time between two polls of the peer that is followed in place of
/// the store.
span_ns pollInterval(const gateway_settings &Settings);

/// Returns the time without a response after which a poll counts as lost.
span_ns pollTimeout(const gateway_settings &Settings);

/// Parses "domain=region" entries into a map from domain to region.
std::map<std::string, std::string>
regionsOf(const std::vector<std::string> &Domains);

} // namespace ebonyvale

#endif

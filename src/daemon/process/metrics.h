/// \file
/// Metrics of the daemon in the Prometheus text format.
#ifndef EBONYVALE_DAEMON_PROCESS_METRICS_H
#define EBONYVALE_DAEMON_PROCESS_METRICS_H

#include "telemetry/metric_registry.h"

namespace ebonyvale {

/// Metrics of one daemon process. Metric names include their unit.
class metrics : public metric_registry {
public:
  metrics();

  prometheus::Counter &Requests;
  prometheus::Counter &ResponsesDelivered;
  prometheus::Counter &CallersGone;
  prometheus::Counter &Retries;
  prometheus::Counter &StreamEventsDelivered;
  prometheus::Counter &StreamEventsCrossed;
  prometheus::Counter &StreamEventsRepeated;
  prometheus::Counter &PromptPieces;
  prometheus::Counter &CachedPieces;
  prometheus::Counter &LendRequestsSent;
  prometheus::Counter &TokensBorrowed;
  prometheus::Gauge &CallerMemoryBytes;
  prometheus::Gauge &CallerConnections;
  prometheus::Gauge &MemoryRefusals;
  prometheus::Gauge &MemoryReleases;
  prometheus::Gauge &OpenRequests;
  prometheus::Gauge &QueuedRequests;
  prometheus::Gauge &ConfigurationVersion;
  prometheus::Histogram &FirstTokenSeconds;
};

} // namespace ebonyvale

#endif

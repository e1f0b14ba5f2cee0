/// \file
/// The process's metrics, in Prometheus's text format.
#ifndef EBONYVALE_DAEMON_PROCESS_METRICS_H
#define EBONYVALE_DAEMON_PROCESS_METRICS_H

#include "telemetry/metric_registry.h"

namespace ebonyvale {

/// All metrics of a daemon. Names carry their unit.
class metrics : public metric_registry {
public:
  metrics();

  prometheus::Counter &Requests;
  prometheus::Counter &Answered;
  prometheus::Counter &CallersGone;
  prometheus::Counter &Retries;
  prometheus::Counter &PiecesDelivered;
  prometheus::Counter &PiecesCrossed;
  prometheus::Counter &PiecesRepeated;
  prometheus::Counter &PromptPieces;
  prometheus::Counter &CachedPieces;
  prometheus::Counter &SharesAsked;
  prometheus::Counter &TokensBorrowed;
  prometheus::Gauge &OpenRequests;
  prometheus::Gauge &QueuedRequests;
  prometheus::Gauge &ConfigurationVersion;
  prometheus::Histogram &FirstTokenSeconds;
};

} // namespace ebonyvale

#endif

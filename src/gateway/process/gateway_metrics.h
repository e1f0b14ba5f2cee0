/// \file
/// The gateway's counters and latency histograms.
#ifndef EBONYVALE_GATEWAY_PROCESS_GATEWAY_METRICS_H
#define EBONYVALE_GATEWAY_PROCESS_GATEWAY_METRICS_H

#include "telemetry/metric_registry.h"

#include <string_view>

namespace ebonyvale {

/// All metrics of a gateway. Names carry their unit.
class gateway_metrics : public metric_registry {
public:
  gateway_metrics();

  void onStoreCall(std::string_view Call, std::string_view Status);
  void onUpstreamLoss(std::string_view Reason);

private:
  counter_family &StoreCalls;
  counter_family &UpstreamLosses;

public:
  prometheus::Counter &Requests;
  prometheus::Counter &Answered;
  prometheus::Counter &ClientsGone;
  prometheus::Counter &Retries;
  prometheus::Counter &Resumed;
  prometheus::Counter &OrdersSent;
  prometheus::Gauge &OpenRequests;
  prometheus::Gauge &RoutingVersion;
  prometheus::Gauge &EvidenceAgeSeconds;
  prometheus::Gauge &Instances;
  prometheus::Histogram &FirstPartSeconds;
  prometheus::Histogram &AnswerSeconds;
};

} // namespace ebonyvale

#endif

/// \file
/// The gateway's counters and latency histograms.
#ifndef EBONYVALE_GATEWAY_PROCESS_GATEWAY_METRICS_H
#define EBONYVALE_GATEWAY_PROCESS_GATEWAY_METRICS_H

#include "common/error_kind.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace ebonyvale {

/// All metrics of a gateway. Names carry their unit.
class gateway_metrics {
public:
  gateway_metrics();

  void onRefusal(error_kind Kind, const std::string &Team);
  void onStoreCall(std::string_view Call, std::string_view Status);
  void onUpstreamLoss(std::string_view Reason);

  /// The registry as Prometheus's text format.
  std::string text() const;

private:
  prometheus::Counter &counter(const char *Name, const char *Help);
  prometheus::Gauge &gauge(const char *Name, const char *Help);
  prometheus::Histogram &histogram(const char *Name, const char *Help);

  // Declared first: the members below are families of this registry.
  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Family<prometheus::Counter> &Refusals;
  prometheus::Family<prometheus::Counter> &StoreCalls;
  prometheus::Family<prometheus::Counter> &UpstreamLosses;

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

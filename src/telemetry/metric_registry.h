/// \file
/// Common base of the metrics of the daemon and the gateway.
#ifndef EBONYVALE_TELEMETRY_METRIC_REGISTRY_H
#define EBONYVALE_TELEMETRY_METRIC_REGISTRY_H

#include "common/error_kind.h"

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace ebonyvale {

/// A Prometheus registry with the refusal counter that both have. Metric names
/// include their unit.
class metric_registry {
public:
  /// Counts a refusal of \p Kind for \p Team.
  void onRefusal(error_kind Kind, const std::string &Team);

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

protected:
  using counter_family = prometheus::Family<prometheus::Counter>;
  using buckets = prometheus::Histogram::BucketBoundaries;

  metric_registry();

  counter_family &addFamily(const char *Name, const char *Help);
  prometheus::Counter &addCounter(const char *Name, const char *Help);
  prometheus::Gauge &addGauge(const char *Name, const char *Help);
  /// Adds a histogram whose buckets have the upper bounds \p Seconds.
  prometheus::Histogram &addHistogram(const char *Name, const char *Help,
                                      const buckets &Seconds);

private:
  std::shared_ptr<prometheus::Registry> Registry;
  counter_family &Refusals;
};

} // namespace ebonyvale

#endif

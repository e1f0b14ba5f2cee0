/// \file
/// What the metrics of daemons and gateways have in common.
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

/// A registry with the refusals that both count. Names carry their unit.
class metric_registry {
public:
  /// Counts a refusal.
  void onRefusal(error_kind Kind, const std::string &Team);

  /// The registry as Prometheus's text format.
  std::string text() const;

protected:
  using counter_family = prometheus::Family<prometheus::Counter>;
  using buckets = prometheus::Histogram::BucketBoundaries;

  metric_registry();

  counter_family &addFamily(const char *Name, const char *Help);
  prometheus::Counter &addCounter(const char *Name, const char *Help);
  prometheus::Gauge &addGauge(const char *Name, const char *Help);
  /// \p Seconds are the upper bounds of the histogram's buckets.
  prometheus::Histogram &addHistogram(const char *Name, const char *Help,
                                      const buckets &Seconds);

private:
  std::shared_ptr<prometheus::Registry> Registry;
  counter_family &Refusals;
};

} // namespace ebonyvale

#endif

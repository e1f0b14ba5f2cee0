#include "telemetry/metric_registry.h"

#include <prometheus/text_serializer.h>

namespace ebonyvale {

metric_registry::metric_registry()
    : Registry(std::make_shared<prometheus::Registry>()),
      Refusals(addFamily("ebonyvale_refusals_total",
                         "Refusals by kind and team.")) {}

void metric_registry::onRefusal(error_kind Kind, const std::string &Team) {
  Refusals.Add({{"kind", std::string(errorRow(Kind).Name)}, {"team", Team}})
      .Increment();
}

std::string metric_registry::text() const {
  return prometheus::TextSerializer().Serialize(Registry->Collect());
}

metric_registry::counter_family &metric_registry::addFamily(const char *Name,
                                                            const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(*Registry);
}

prometheus::Counter &metric_registry::addCounter(const char *Name,
                                                 const char *Help) {
  return addFamily(Name, Help).Add({});
}

prometheus::Gauge &metric_registry::addGauge(const char *Name,
                                             const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(*Registry).Add(
      {});
}

prometheus::Histogram &metric_registry::addHistogram(const char *Name,
                                                     const char *Help,
                                                     const buckets &Seconds) {
  return prometheus::BuildHistogram()
      .Name(Name)
      .Help(Help)
      .Register(*Registry)
      .Add({}, Seconds);
}

} // namespace ebonyvale

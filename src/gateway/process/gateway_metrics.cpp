#include "gateway/process/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace ebonyvale {
namespace {

const prometheus::Histogram::BucketBoundaries SecondsBuckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 12};

} // namespace

gateway_metrics::gateway_metrics()
    : Registry(std::make_shared<prometheus::Registry>()),
      Refusals(prometheus::BuildCounter()
                   .Name("ebonyvale_refusals_total")
                   .Help("Refusals by kind and team.")
                   .Register(*Registry)),
      StoreCalls(prometheus::BuildCounter()
                     .Name("ebonyvale_store_calls_total")
                     .Help("Calls to the store by call and status.")
                     .Register(*Registry)),
      UpstreamLosses(prometheus::BuildCounter()
                         .Name("ebonyvale_upstream_losses_total")
                         .Help("Attempts without a whole answer by reason.")
                         .Register(*Registry)),
      Requests(counter("ebonyvale_requests_total", "Requests received.")),
      Answered(counter("ebonyvale_answers_total",
                       "Upstream answers delivered whole.")),
      ClientsGone(counter("ebonyvale_callers_gone_total",
                          "Callers that left before their answer's end.")),
      Retries(
          counter("ebonyvale_retries_total", "Attempts after the first one.")),
      Resumed(counter("ebonyvale_streams_resumed_total",
                      "Streams that went on at another upstream.")),
      OrdersSent(counter("ebonyvale_weights_orders_total",
                         "Orders to load weights sent.")),
      OpenRequests(gauge("ebonyvale_open_requests",
                         "Requests without a complete answer.")),
      RoutingVersion(gauge("ebonyvale_configuration_version",
                           "Configuration version in force.")),
      EvidenceAgeSeconds(gauge("ebonyvale_evidence_age_seconds",
                               "Time since the configuration was proved.")),
      Instances(gauge("ebonyvale_instances",
                      "Instances that limits are divided over.")),
      FirstPartSeconds(histogram("ebonyvale_first_part_seconds",
                                 "From a request to the first part of its "
                                 "answer.")),
      AnswerSeconds(histogram("ebonyvale_answer_seconds",
                              "From a request to the end of its answer.")) {}

void gateway_metrics::onRefusal(error_kind Kind, const std::string &Team) {
  Refusals.Add({{"kind", std::string(errorRow(Kind).Name)}, {"team", Team}})
      .Increment();
}

void gateway_metrics::onStoreCall(std::string_view Call,
                                  std::string_view Status) {
  StoreCalls.Add({{"call", std::string(Call)}, {"status", std::string(Status)}})
      .Increment();
}

void gateway_metrics::onUpstreamLoss(std::string_view Reason) {
  UpstreamLosses.Add({{"reason", std::string(Reason)}}).Increment();
}

std::string gateway_metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry->Collect());
}

prometheus::Counter &gateway_metrics::counter(const char *Name,
                                              const char *Help) {
  return prometheus::BuildCounter()
      .Name(Name)
      .Help(Help)
      .Register(*Registry)
      .Add({});
}

prometheus::Gauge &gateway_metrics::gauge(const char *Name, const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(*Registry).Add(
      {});
}

prometheus::Histogram &gateway_metrics::histogram(const char *Name,
                                                  const char *Help) {
  return prometheus::BuildHistogram()
      .Name(Name)
      .Help(Help)
      .Register(*Registry)
      .Add({}, SecondsBuckets);
}

} // namespace ebonyvale

#include "gateway/process/gateway_metrics.h"

namespace ebonyvale {
namespace {

const prometheus::Histogram::BucketBoundaries SecondsBuckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 12};

} // namespace

gateway_metrics::gateway_metrics()
    : StoreCalls(addFamily("ebonyvale_store_calls_total",
                           "Calls to the store by call and status.")),
      UpstreamLosses(addFamily("ebonyvale_upstream_losses_total",
                               "Attempts without a whole answer by reason.")),
      Requests(addCounter("ebonyvale_requests_total", "Requests received.")),
      Answered(addCounter("ebonyvale_answers_total",
                          "Upstream answers delivered whole.")),
      ClientsGone(addCounter("ebonyvale_callers_gone_total",
                             "Callers that left before their answer's end.")),
      Retries(addCounter("ebonyvale_retries_total",
                         "Attempts after the first one.")),
      Resumed(addCounter("ebonyvale_streams_resumed_total",
                         "Streams that went on at another upstream.")),
      OrdersSent(addCounter("ebonyvale_weights_orders_total",
                            "Orders to load weights sent.")),
      OpenRequests(addGauge("ebonyvale_open_requests",
                            "Requests without a complete answer.")),
      RoutingVersion(addGauge("ebonyvale_configuration_version",
                              "Configuration version in force.")),
      EvidenceAgeSeconds(addGauge("ebonyvale_evidence_age_seconds",
                                  "Time since the configuration was proved.")),
      Instances(addGauge("ebonyvale_instances",
                         "Instances that limits are divided over.")),
      FirstPartSeconds(addHistogram("ebonyvale_first_part_seconds",
                                    "From a request to the first part of its "
                                    "answer.",
                                    SecondsBuckets)),
      AnswerSeconds(addHistogram("ebonyvale_answer_seconds",
                                 "From a request to the end of its answer.",
                                 SecondsBuckets)) {}

void gateway_metrics::onStoreCall(std::string_view Call,
                                  std::string_view Status) {
  StoreCalls.Add({{"call", std::string(Call)}, {"status", std::string(Status)}})
      .Increment();
}

void gateway_metrics::onUpstreamLoss(std::string_view Reason) {
  UpstreamLosses.Add({{"reason", std::string(Reason)}}).Increment();
}

} // namespace ebonyvale

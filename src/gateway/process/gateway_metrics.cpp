#include "gateway/process/gateway_metrics.h"

namespace ebonyvale {
namespace {

const prometheus::Histogram::BucketBoundaries SecondsBuckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 12};

} // namespace

gateway_metrics::gateway_metrics()
    : StoreCalls(addFamily("ebonyvale_store_calls_total",
                           "Calls to the store by call and status.")),
      StoreBytes(addFamily("ebonyvale_store_received_bytes_total",
                           "Bytes of the store's responses by call and "
                           "status, with those that were given up.")),
      UpstreamLosses(
          addFamily("ebonyvale_upstream_losses_total",
                    "Attempts without a complete response by reason.")),
      OriginLookups(
          addFamily("ebonyvale_origin_lookups_total",
                    "Questions to peers for the version that began a stream.")),
      Barriers(addFamily("ebonyvale_read_barriers_total",
                         "Streams of unknown origin that waited for a read of "
                         "the store, by result.")),
      JudgedEnds(addFamily("ebonyvale_response_ends_total",
                           "Responses without length or chunks by verdict.")),
      ReleaseStates(addFamily("ebonyvale_release_states_total",
                              "States of releases written to the store.")),
      RoomRefusals(addFamily("ebonyvale_room_refusals_total",
                             "Requests without room by service and bound.")),
      Requests(addCounter("ebonyvale_requests_total", "Requests received.")),
      CompletedResponses(
          addCounter("ebonyvale_answers_total",
                     "Upstream responses delivered completely.")),
      CallersGone(
          addCounter("ebonyvale_callers_gone_total",
                     "Callers that disconnected before the response ended.")),
      Retries(addCounter("ebonyvale_retries_total",
                         "Attempts after the first one.")),
      StreamsResumed(addCounter("ebonyvale_streams_resumed_total",
                                "Streams resumed at another upstream.")),
      UncertainStreams(
          addCounter("ebonyvale_uncertain_streams_total",
                     "Streams that began at a process that had not stated its "
                     "start.")),
      SegmentsQuarantined(addCounter(
          "ebonyvale_segments_quarantined_total",
          "Prompt segments quarantined since they crash upstreams.")),
      OrdersSent(addCounter("ebonyvale_weights_orders_total",
                            "Orders to load weights sent to upstreams.")),
      PausesAsked(addCounter("ebonyvale_upstream_pauses_total",
                             "Refusals of upstreams that ask for a pause.")),
      UnknownFields(
          addCounter("ebonyvale_unknown_fields_total",
                     "Fields of upstreams and the store that nothing reads.")),
      SentThroughRelays(addCounter("ebonyvale_sent_through_relays_total",
                                   "Attempts that were sent through a peer.")),
      RelayedForPeers(
          addCounter("ebonyvale_relayed_for_peers_total",
                     "Attempts of peers that were passed on to upstreams.")),
      BuffersRefused(
          addCounter("ebonyvale_response_buffers_refused_total",
                     "Attempts ended since their response could not be "
                     "buffered.")),
      IdleConnectionsClosed(
          addCounter("ebonyvale_caller_connections_idle_closed_total",
                     "Connections of callers that were closed between two "
                     "requests.")),
      VersionsBarred(
          addCounter("ebonyvale_release_versions_barred_total",
                     "Versions of software that got no more requests since "
                     "their responses were bad.")),
      ActiveReleases(addGauge("ebonyvale_releases_active",
                              "1 while an order of a release is in force whose "
                              "release has not ended.")),
      DocumentBytesFetched(
          addCounter("ebonyvale_document_fetched_bytes_total",
                     "Bytes of operators' documents received from peers.")),
      MemoryRefusals(addCounter(
          "ebonyvale_memory_refusals_total",
          "Requests refused unread since connections hold too much memory.")),
      ConnectionsShed(addCounter(
          "ebonyvale_connections_shed_total",
          "Connections closed without a response for want of memory or "
          "descriptors.")),
      OpenRequests(addGauge("ebonyvale_open_requests", "Requests in flight.")),
      RoutingVersion(addGauge("ebonyvale_configuration_version",
                              "Configuration version in force.")),
      ConfigurationAgeSeconds(addGauge("ebonyvale_evidence_age_seconds",
                                       "Age of the last read that confirmed "
                                       "the configuration; -1 if none.")),
      ConfigurationBehindSeconds(
          addGauge("ebonyvale_configuration_behind_seconds",
                   "Time for which a newer configuration than the one in force "
                   "has been known to exist; 0 if there is none.")),
      Instances(addGauge("ebonyvale_instances",
                         "Instances that the limits are divided by.")),
      LimitedUpstreams(addGauge("ebonyvale_limited_upstreams",
                                "Upstreams that have named a limit.")),
      ShortServices(addGauge("ebonyvale_short_services",
                             "Services whose room is short.")),
      UnreachableUpstreams(
          addGauge("ebonyvale_unreachable_upstreams",
                   "Upstreams that no connection can be opened to.")),
      StreamOrigins(addGauge("ebonyvale_stream_origins",
                             "Streams whose software version is recorded.")),
      BufferedBytes(addGauge("ebonyvale_response_buffer_bytes",
                             "Buffered bytes of responses.")),
      LearnedServices(addGauge("ebonyvale_learned_cost_services",
                               "Services for which learned costs are used.")),
      LearnedCosts(addGauge("ebonyvale_learned_cost_entries",
                            "Services, routes, prompt sizes and teams whose "
                            "costs are learned.")),
      CallerMemoryBytes(addGauge("ebonyvale_caller_memory_bytes",
                                 "Bytes that connections of clients hold.")),
      CallerConnections(addGauge("ebonyvale_caller_connections",
                                 "Open connections of clients.")),
      FirstChunkSeconds(addHistogram(
          "ebonyvale_first_part_seconds",
          "Time from a request to the first body chunk of its response.",
          SecondsBuckets)),
      FirstChunkErrorSeconds(addHistogram(
          "ebonyvale_first_part_error_seconds",
          "Difference between the expected and the observed time to the first "
          "body chunk.",
          SecondsBuckets)),
      ResponseSeconds(addHistogram(
          "ebonyvale_answer_seconds",
          "Time from a request to the end of its response.", SecondsBuckets)) {}

void gateway_metrics::onStoreCall(std::string_view Call,
                                  std::string_view Status) {
  StoreCalls.Add({{"call", std::string(Call)}, {"status", std::string(Status)}})
      .Increment();
}

void gateway_metrics::onStoreBytes(std::string_view Call,
                                   std::string_view Status, std::size_t Bytes) {
  StoreBytes.Add({{"call", std::string(Call)}, {"status", std::string(Status)}})
      .Increment(static_cast<double>(Bytes));
}

void gateway_metrics::onOriginLookup(bool IsKnown) {
  OriginLookups.Add({{"result", IsKnown ? "known" : "unknown"}}).Increment();
}

void gateway_metrics::onBarrier(bool IsCurrent) {
  Barriers.Add({{"result", IsCurrent ? "current" : "unknown"}}).Increment();
}

void gateway_metrics::onEndJudged(end_verdict Verdict) {
  JudgedEnds.Add({{"verdict", std::string(endVerdictName(Verdict))}})
      .Increment();
}

void gateway_metrics::onReleaseState(std::string_view State) {
  ReleaseStates.Add({{"state", std::string(State)}}).Increment();
}

void gateway_metrics::onRoomRefusal(std::string_view Service,
                                    std::string_view Bound) {
  RoomRefusals
      .Add({{"service", std::string(Service)}, {"bound", std::string(Bound)}})
      .Increment();
}

void gateway_metrics::onUpstreamLoss(std::string_view Reason) {
  UpstreamLosses.Add({{"reason", std::string(Reason)}}).Increment();
}

} // namespace ebonyvale

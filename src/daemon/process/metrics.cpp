#include "daemon/process/metrics.h"

namespace ebonyvale {
namespace {

const prometheus::Histogram::BucketBoundaries SecondsBuckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
    0.44,  0.6,    0.8,   1,    2,     5,    10,  30,  60};

} // namespace

metrics::metrics()
    : Requests(addCounter("ebonyvale_requests_total", "Requests received.")),
      ResponsesDelivered(addCounter("ebonyvale_answers_total",
                                    "Responses delivered completely.")),
      CallersGone(
          addCounter("ebonyvale_callers_gone_total",
                     "Callers that disconnected before the response ended.")),
      Retries(addCounter("ebonyvale_retries_total",
                         "Upstream attempts after the first of a request.")),
      StreamEventsDelivered(addCounter("ebonyvale_stream_events_total",
                                       "Stream events delivered to callers.")),
      StreamEventsCrossed(
          addCounter("ebonyvale_stream_events_crossed_total",
                     "Stream events dropped because they belonged to "
                     "another request.")),
      StreamEventsRepeated(addCounter("ebonyvale_stream_events_repeated_total",
                                      "Duplicate stream events dropped.")),
      PromptPieces(
          addCounter("ebonyvale_prompt_pieces_total",
                     "Complete pieces in the prompts of answered requests.")),
      CachedPieces(addCounter("ebonyvale_cached_pieces_total",
                              "Prompt pieces found in an engine's cache.")),
      LendRequestsSent(addCounter("ebonyvale_share_asks_total",
                                  "Requests to borrow tokens sent to peers.")),
      TokensBorrowed(addCounter("ebonyvale_tokens_borrowed_total",
                                "Tokens borrowed from peers.")),
      CallerMemoryBytes(addGauge("ebonyvale_caller_memory_bytes",
                                 "Bytes that connections of clients hold.")),
      CallerConnections(addGauge("ebonyvale_caller_connections",
                                 "Open connections of clients.")),
      MemoryRefusals(addGauge("ebonyvale_memory_refusals",
                              "Requests and connections refused so far since "
                              "connections hold too much.")),
      MemoryReleases(addGauge("ebonyvale_memory_releases",
                              "Connections without progress that were asked "
                              "so far to release memory.")),
      OpenRequests(addGauge("ebonyvale_open_requests",
                            "Requests whose response is not complete.")),
      QueuedRequests(addGauge("ebonyvale_queued_requests",
                              "Requests queued for an upstream.")),
      ConfigurationVersion(addGauge("ebonyvale_configuration_version",
                                    "Current configuration version.")),
      FirstTokenSeconds(
          addHistogram("ebonyvale_first_token_seconds",
                       "Time from a request to the first token of "
                       "its response.",
                       SecondsBuckets)) {}

} // namespace ebonyvale

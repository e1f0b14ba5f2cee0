#include "daemon/process/metrics.h"

namespace ebonyvale {
namespace {

const prometheus::Histogram::BucketBoundaries SecondsBuckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
    0.44,  0.6,    0.8,   1,    2,     5,    10,  30,  60};

} // namespace

metrics::metrics()
    : Requests(addCounter("ebonyvale_requests_total", "Requests received.")),
      Answered(
          addCounter("ebonyvale_answers_total", "Answers delivered whole.")),
      CallersGone(addCounter("ebonyvale_callers_gone_total",
                             "Callers that left before their answer's end.")),
      Retries(addCounter("ebonyvale_retries_total",
                         "Attempts after the first one.")),
      PiecesDelivered(addCounter("ebonyvale_stream_events_total",
                                 "Stream events delivered to callers.")),
      PiecesCrossed(addCounter("ebonyvale_stream_events_crossed_total",
                               "Stream events of another request, dropped.")),
      PiecesRepeated(addCounter("ebonyvale_stream_events_repeated_total",
                                "Stream events that came twice, dropped.")),
      PromptPieces(addCounter("ebonyvale_prompt_pieces_total",
                              "Whole pieces in answered prompts.")),
      CachedPieces(addCounter("ebonyvale_cached_pieces_total",
                              "Of these, found in an engine's cache.")),
      SharesAsked(addCounter("ebonyvale_share_asks_total",
                             "Asks for tokens sent to peers.")),
      TokensBorrowed(addCounter("ebonyvale_tokens_borrowed_total",
                                "Tokens lent by peers.")),
      OpenRequests(addGauge("ebonyvale_open_requests",
                            "Requests without a complete answer.")),
      QueuedRequests(addGauge("ebonyvale_queued_requests",
                              "Requests that wait before an upstream.")),
      ConfigurationVersion(addGauge("ebonyvale_configuration_version",
                                    "Configuration version in force.")),
      FirstTokenSeconds(
          addHistogram("ebonyvale_first_token_seconds",
                       "Time from a request to the first piece of its "
                       "answer.",
                       SecondsBuckets)) {}

} // namespace ebonyvale

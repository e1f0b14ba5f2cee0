/// \file
/// HTTP protocol of engines: an OpenAI-compatible API whose servers give each
/// stream event an id, resume streams and report their load and incarnation.
///
/// - `X-Request-Id` is echoed in the response and starts the id of each event.
/// - `Last-Event-ID` (WHATWG HTML, section 9.2) resumes a stream after that
///   event.
/// - `ETag` carries the incarnation; `If-Match` (RFC 9110, section 13.1.1)
///   makes an engine of another incarnation respond with 412 and not execute
///   the request.
/// - `X-Ran: no` on an error response states that the request was not executed.
#ifndef EBONYVALE_DAEMON_REQUEST_ENGINE_PROTOCOL_H
#define EBONYVALE_DAEMON_REQUEST_ENGINE_PROTOCOL_H

#include "decisions/process/engine_table.h"
#include "decisions/process/fair_queue.h"
#include "decisions/request/chat_request.h"
#include "net/upstream_exchange.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Attributes of an attempt that are sent as headers of the engine's request.
struct engine_attempt {
  std::string_view AttemptId;
  std::string_view Incarnation;  ///< required incarnation; empty for any
  std::uint64_t ResumeAfter = 0; ///< last event received; 0 for none
  service_class Class = service_class::Interactive;
  span_ns TimeLeft{0}; ///< until the deadline
  std::string_view Traceparent;
};

/// Builds the HTTP request to an engine. The result holds views into the
/// arguments, which must outlive it.
outgoing_request makeEngineRequest(const engine_state &Engine, chat_route Route,
                                   const chat_request &Request,
                                   std::string_view Body,
                                   const engine_attempt &Attempt);

/// Status and headers of an engine's response.
struct engine_head {
  int Status = 0;
  std::string RequestId;
  std::string Incarnation;
  load_report Load;
  bool NotRun = false;              ///< the engine did not execute the request
  bool IncarnationMismatch = false; ///< `If-Match` failed: response 412
};

engine_head readEngineHead(const response_head &Head);

/// Tokens that a request used.
struct engine_usage {
  double PromptTokens = 0;
  double CompletionTokens = 0;
  double CachedTokens = 0;
};

/// Reads the `usage` member of a response body or of the data of a stream
/// event. Returns nothing when there is none.
std::optional<engine_usage> readUsage(std::string_view Json);

/// Returns whether \p Body is one whole JSON document.
bool isWholeDocument(std::string_view Body);

/// Returns whether a stream event has an empty `choices` array, as the event
/// that reports the usage does.
bool isUsageOnly(std::string_view Json);

/// Data of the event that ends a stream.
inline constexpr std::string_view StreamEndData = "[DONE]";

} // namespace ebonyvale

#endif

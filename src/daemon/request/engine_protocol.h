/// \file
/// The wire form of engines: an OpenAI-compatible server that names each
/// stream event, resumes streams and reports its load and incarnation.
///
/// - `X-Request-Id` is echoed in the answer and starts the id of each event.
/// - `Last-Event-ID` (WHATWG HTML, section 9.2) resumes a stream behind that
///   event.
/// - `ETag` carries the incarnation; `If-Match` (RFC 9110, section 13.1.1)
///   makes an engine of another incarnation refuse with 412 before it runs
///   anything.
/// - `X-Ran: no` on an error answer proves that the request did not run.
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

/// What an attempt adds to the caller's request.
struct engine_attempt {
  std::string_view AttemptId;
  std::string_view Incarnation; ///< required one; empty for any
  std::uint64_t ResumeAfter = 0;
  service_class Class = service_class::Interactive;
  span_ns TimeLeft{0}; ///< until the deadline
  std::string_view Traceparent;
};

/// Builds the request to an engine. Views in it point into the arguments.
outgoing_request makeEngineRequest(const engine_state &Engine, chat_route Route,
                                   const chat_request &Request,
                                   std::string_view Body,
                                   const engine_attempt &Attempt);

/// What the head of an engine's answer says.
struct engine_head {
  int Status = 0;
  std::string RequestId;
  std::string Incarnation;
  load_report Load;
  bool NotRun = false;           ///< proof that nothing was run
  bool OtherIncarnation = false; ///< refused for its incarnation
};

engine_head readEngineHead(const response_head &Head);

/// Tokens that an answer used.
struct engine_usage {
  double PromptTokens = 0;
  double AnswerTokens = 0;
  double CachedTokens = 0;
};

/// Reads the `usage` member of an answer or of a stream event; nothing where
/// there is none.
std::optional<engine_usage> readUsage(std::string_view Json);

/// Whether a stream event carries usage and no part of the answer.
bool isUsageOnly(std::string_view Json);

/// The data of the event that ends a stream.
inline constexpr std::string_view StreamEndData = "[DONE]";

} // namespace ebonyvale

#endif

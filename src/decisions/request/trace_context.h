/// \file
/// The W3C trace context that a request carries from hop to hop.
/// Source: W3C Recommendation "Trace Context", section 3.2.
#ifndef EBONYVALE_DECISIONS_REQUEST_TRACE_CONTEXT_H
#define EBONYVALE_DECISIONS_REQUEST_TRACE_CONTEXT_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Names a span and the trace that it belongs to.
struct trace_context {
  std::array<std::uint64_t, 2> TraceId{}; ///< high half first
  std::uint64_t SpanId = 0;
  bool Sampled = true;

  std::string traceIdHex() const;
  std::string spanIdHex() const;

  /// The value of a `traceparent` header.
  std::string traceparent() const;
};

/// Reads a `traceparent` header; nothing when it is malformed, in which case
/// a new trace is to be started.
std::optional<trace_context> parseTraceparent(std::string_view Header);

} // namespace ebonyvale

#endif

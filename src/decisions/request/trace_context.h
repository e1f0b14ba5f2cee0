/// \file
/// The W3C trace context that is propagated with a request.
/// Source: W3C Recommendation "Trace Context", section 3.2.
#ifndef EBONYVALE_DECISIONS_REQUEST_TRACE_CONTEXT_H
#define EBONYVALE_DECISIONS_REQUEST_TRACE_CONTEXT_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Identifies a span and its trace.
struct trace_context {
  std::array<std::uint64_t, 2> TraceId{}; ///< high half first
  std::uint64_t SpanId = 0;
  bool Sampled = true;

  /// Returns the trace id as 32 lower-case hex digits.
  std::string traceIdHex() const;

  /// Returns the span id as 16 lower-case hex digits.
  std::string spanIdHex() const;

  /// Returns the value of the `traceparent` header.
  std::string traceparent() const;
};

/// Parses a `traceparent` header. Returns nothing if it is malformed, in which
/// case a new trace has to be started.
std::optional<trace_context> parseTraceparent(std::string_view Header);

} // namespace ebonyvale

#endif

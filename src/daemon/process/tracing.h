/// \file
/// Tracing through the OpenTracing API, with W3C trace contexts. Spans are
/// exported to a file as OTLP/JSON, one object per line.
/// Source: OpenTracing specification 1.1; OpenTelemetry protocol, JSON
/// encoding of `ExportTraceServiceRequest`.
#ifndef EBONYVALE_DAEMON_PROCESS_TRACING_H
#define EBONYVALE_DAEMON_PROCESS_TRACING_H

#include "decisions/request/trace_context.h"

#include <memory>
#include <string>

#include <opentracing/tracer.h>

namespace ebonyvale {

/// Returns the tracer of the process. Spans are appended to the file or device
/// \p Path; if it is empty, the tracer only propagates trace contexts. \p Seed
/// seeds the generator of trace and span ids.
std::shared_ptr<opentracing::Tracer> makeTracer(const std::string &Instance,
                                                const std::string &Path,
                                                std::uint64_t Seed);

/// Returns the W3C trace context of \p Span, which must come from a tracer made
/// by `makeTracer`.
trace_context contextOf(const opentracing::Span &Span);

/// Starts a span that continues the trace of the header \p Traceparent, or a
/// new trace when the header is missing or malformed.
std::unique_ptr<opentracing::Span>
startServerSpan(const opentracing::Tracer &Tracer, const std::string &Name,
                std::string_view Traceparent);

/// Starts a child span of \p Parent for a request to an upstream.
std::unique_ptr<opentracing::Span>
startClientSpan(const opentracing::Tracer &Tracer, const std::string &Name,
                const opentracing::Span &Parent);

} // namespace ebonyvale

#endif

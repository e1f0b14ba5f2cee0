/// \file
/// Spans by the OpenTracing API, with W3C trace ids and an exporter that writes
/// one OTLP/JSON object a line.
/// Source: OpenTracing specification 1.1; OpenTelemetry protocol, JSON
/// encoding of `ExportTraceServiceRequest`.
#ifndef EBONYVALE_DAEMON_PROCESS_TRACING_H
#define EBONYVALE_DAEMON_PROCESS_TRACING_H

#include "decisions/request/trace_context.h"

#include <memory>
#include <string>

#include <opentracing/tracer.h>

namespace ebonyvale {

/// A tracer for the process. \p Path is the file or device to which spans are
/// appended; an empty one makes a tracer that only passes contexts on.
std::shared_ptr<opentracing::Tracer> makeTracer(const std::string &Instance,
                                                const std::string &Path,
                                                std::uint64_t Seed);

/// The W3C context of a span that such a tracer made.
trace_context contextOf(const opentracing::Span &Span);

/// A span that continues the trace of a `traceparent` header, or starts one.
std::unique_ptr<opentracing::Span>
startServerSpan(const opentracing::Tracer &Tracer, const std::string &Name,
                std::string_view Traceparent);

/// A span below \p Parent for a call to an upstream.
std::unique_ptr<opentracing::Span>
startClientSpan(const opentracing::Tracer &Tracer, const std::string &Name,
                const opentracing::Span &Parent);

} // namespace ebonyvale

#endif

#include "daemon/process/tracing.h"

#include <fstream>
#include <map>
#include <random>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

namespace ot = opentracing;
using nlohmann::json;

/// OTLP numbers of the span kinds.
constexpr int KindServer = 2;
constexpr int KindClient = 3;
/// Tag that marks a client span; it is not exported as an attribute.
constexpr const char *KindTag = "span.kind";

class span_context final : public ot::SpanContext {
public:
  explicit span_context(trace_context Context) : Context(Context) {}

  void ForeachBaggageItem(
      std::function<bool(const std::string &, const std::string &)>)
      const override {}
  std::unique_ptr<ot::SpanContext> Clone() const noexcept override {
    return std::make_unique<span_context>(Context);
  }

  trace_context Context;
};

json toAttribute(const std::string &Key, const ot::Value &Value) {
  json Typed;
  if (Value.is<std::string>())
    Typed = {{"stringValue", Value.get<std::string>()}};
  else if (Value.is<const char *>())
    Typed = {{"stringValue", Value.get<const char *>()}};
  else if (Value.is<std::int64_t>())
    Typed = {{"intValue", fmt::format("{}", Value.get<std::int64_t>())}};
  else if (Value.is<bool>())
    Typed = {{"boolValue", Value.get<bool>()}};
  else
    Typed = {{"stringValue", ""}};
  return {{"key", Key}, {"value", Typed}};
}

std::string unixNanoseconds(ot::SystemTime Time) {
  return fmt::format("{}", std::chrono::duration_cast<std::chrono::nanoseconds>(
                               Time.time_since_epoch())
                               .count());
}

class otlp_tracer;

class otlp_span final : public ot::Span {
public:
  otlp_span(std::shared_ptr<const otlp_tracer> Tracer, std::string Name,
            trace_context Context, std::uint64_t Parent)
      : Tracer(std::move(Tracer)), Name(std::move(Name)), Context(Context),
        Parent(Parent), StartTime(std::chrono::system_clock::now()) {}
  ~otlp_span() override { Finish(); }

  void FinishWithOptions(const ot::FinishSpanOptions &) noexcept override;
  void SetOperationName(ot::string_view NewName) noexcept override {
    Name = NewName;
  }
  void SetTag(ot::string_view Key, const ot::Value &Value) noexcept override {
    Tags[Key] = Value;
  }
  void SetBaggageItem(ot::string_view, ot::string_view) noexcept override {}
  std::string BaggageItem(ot::string_view) const noexcept override {
    return {};
  }
  // Span events are not exported; events are written to the log.
  void
  Log(std::initializer_list<std::pair<ot::string_view, ot::Value>>) noexcept
      override {}
  void
  Log(ot::SystemTime,
      std::initializer_list<std::pair<ot::string_view, ot::Value>>) noexcept
      override {}
  void Log(ot::SystemTime,
           const std::vector<std::pair<ot::string_view, ot::Value>> &) noexcept
      override {}
  const ot::SpanContext &context() const noexcept override { return Context; }
  const ot::Tracer &tracer() const noexcept override;

private:
  json toJson() const;

  std::shared_ptr<const otlp_tracer> Tracer;
  std::string Name;
  span_context Context;
  std::uint64_t Parent;
  ot::SystemTime StartTime;
  std::map<std::string, ot::Value> Tags;
  bool Finished = false;
};

/// Writes each finished span to the file as a line of OTLP/JSON.
class otlp_tracer final : public ot::Tracer,
                          public std::enable_shared_from_this<otlp_tracer> {
public:
  otlp_tracer(std::string Instance, const std::string &Path, std::uint64_t Seed)
      : Instance(std::move(Instance)), Random(Seed) {
    if (!Path.empty())
      File.open(Path, std::ios::app);
  }

  std::unique_ptr<ot::Span> StartSpanWithOptions(
      ot::string_view Name,
      const ot::StartSpanOptions &Options) const noexcept override {
    trace_context Context{{Random(), Random()}, Random() | 1, true};
    std::uint64_t Parent = 0;
    for (const auto &[Type, Reference] : Options.references) {
      const auto *ParentContext = dynamic_cast<const span_context *>(Reference);
      if (!ParentContext)
        continue;
      Context.TraceId = ParentContext->Context.TraceId;
      Context.Sampled = ParentContext->Context.Sampled;
      Parent = ParentContext->Context.SpanId;
    }
    auto Span =
        std::make_unique<otlp_span>(shared_from_this(), Name, Context, Parent);
    for (const auto &[Key, Value] : Options.tags)
      Span->SetTag(Key, Value);
    return Span;
  }

  // There is no binary format: contexts are propagated in the traceparent
  // header only.
  ot::expected<void> Inject(const ot::SpanContext &,
                            std::ostream &) const override {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }
  ot::expected<void> Inject(const ot::SpanContext &Context,
                            const ot::TextMapWriter &Writer) const override {
    const auto *Own = dynamic_cast<const span_context *>(&Context);
    if (!Own)
      return ot::make_unexpected(ot::invalid_span_context_error);
    return Writer.Set("traceparent", Own->Context.traceparent());
  }
  ot::expected<void>
  Inject(const ot::SpanContext &Context,
         const ot::HTTPHeadersWriter &Writer) const override {
    return Inject(Context, static_cast<const ot::TextMapWriter &>(Writer));
  }
  ot::expected<std::unique_ptr<ot::SpanContext>>
  Extract(std::istream &) const override {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }
  ot::expected<std::unique_ptr<ot::SpanContext>>
  Extract(const ot::TextMapReader &Reader) const override {
    std::unique_ptr<ot::SpanContext> Found;
    Reader.ForeachKey([&Found](ot::string_view Key,
                               ot::string_view Value) -> ot::expected<void> {
      const auto Context = parseTraceparent({Value.data(), Value.size()});
      if (std::string(Key) == "traceparent" && Context)
        Found = std::make_unique<span_context>(*Context);
      return {};
    });
    return Found;
  }
  ot::expected<std::unique_ptr<ot::SpanContext>>
  Extract(const ot::HTTPHeadersReader &Reader) const override {
    return Extract(static_cast<const ot::TextMapReader &>(Reader));
  }

  void write(const json &Span) const {
    if (!File.is_open())
      return;
    const json Line{{"resourceSpans",
                     {{{"resource",
                        {{"attributes",
                          {{{"key", "service.name"},
                            {"value", {{"stringValue", "ebonyvale"}}}},
                           {{"key", "service.instance.id"},
                            {"value", {{"stringValue", Instance}}}}}}}},
                       {"scopeSpans", {{{"spans", {Span}}}}}}}}};
    File << Line.dump(-1, ' ', false, json::error_handler_t::replace) << "\n"
         << std::flush;
  }

private:
  std::string Instance;
  mutable std::mt19937_64 Random;
  mutable std::ofstream File;
};

void otlp_span::FinishWithOptions(const ot::FinishSpanOptions &) noexcept {
  if (std::exchange(Finished, true) || !Context.Context.Sampled)
    return;
  Tracer->write(toJson());
}

const ot::Tracer &otlp_span::tracer() const noexcept { return *Tracer; }

json otlp_span::toJson() const {
  json Attributes = json::array();
  int Kind = KindServer;
  for (const auto &[Key, Value] : Tags) {
    if (Key == KindTag)
      Kind = KindClient;
    else
      Attributes.push_back(toAttribute(Key, Value));
  }
  json Span{
      {"traceId", Context.Context.traceIdHex()},
      {"spanId", Context.Context.spanIdHex()},
      {"name", Name},
      {"kind", Kind},
      {"startTimeUnixNano", unixNanoseconds(StartTime)},
      {"endTimeUnixNano", unixNanoseconds(std::chrono::system_clock::now())},
      {"attributes", Attributes}};
  if (Parent != 0)
    Span["parentSpanId"] = fmt::format("{:016x}", Parent);
  return Span;
}

} // namespace

std::shared_ptr<opentracing::Tracer> makeTracer(const std::string &Instance,
                                                const std::string &Path,
                                                std::uint64_t Seed) {
  return std::make_shared<otlp_tracer>(Instance, Path, Seed);
}

trace_context contextOf(const opentracing::Span &Span) {
  return static_cast<const span_context &>(Span.context()).Context;
}

std::unique_ptr<opentracing::Span>
startServerSpan(const opentracing::Tracer &Tracer, const std::string &Name,
                std::string_view Traceparent) {
  const auto Parent = parseTraceparent(Traceparent);
  if (!Parent)
    return Tracer.StartSpan(Name);
  const span_context Context(*Parent);
  return Tracer.StartSpan(Name, {ot::ChildOf(&Context)});
}

std::unique_ptr<opentracing::Span>
startClientSpan(const opentracing::Tracer &Tracer, const std::string &Name,
                const opentracing::Span &Parent) {
  return Tracer.StartSpan(
      Name, {ot::ChildOf(&Parent.context()), ot::SetTag(KindTag, "client")});
}

} // namespace ebonyvale

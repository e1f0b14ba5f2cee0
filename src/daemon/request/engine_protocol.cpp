#include "daemon/request/engine_protocol.h"

#include <charconv>

#include <simdjson.h>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr int PreconditionFailed = 412;

double readNumber(std::string_view Text) {
  double Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string unquoted(std::string_view Tag) {
  if (Tag.size() >= 2 && Tag.starts_with('"') && Tag.ends_with('"'))
    Tag = Tag.substr(1, Tag.size() - 2);
  return std::string(Tag);
}

bool parse(std::string_view Json, simdjson::dom::element &Root) {
  thread_local simdjson::dom::parser Parser;
  return Parser.parse(Json.data(), Json.size()).get(Root) == simdjson::SUCCESS;
}

double numberField(const simdjson::dom::object &Object, const char *Name) {
  double Value = 0;
  if (Object[Name].get(Value) != simdjson::SUCCESS)
    return 0;
  return Value;
}

} // namespace

outgoing_request makeEngineRequest(const engine_state &Engine, chat_route Route,
                                   const chat_request &Request,
                                   std::string_view Body,
                                   const engine_attempt &Attempt) {
  outgoing_request Out;
  Out.Server = {Engine.Address, Engine.Port};
  Out.Target = Route == chat_route::ChatCompletions ? "/v1/chat/completions"
                                                    : "/v1/completions";
  Out.ReadTimeout = Attempt.TimeLeft + DeadlineMargin;
  Out.Headers = {
      {"Content-Type", "application/json"},
      {"X-Request-Id", std::string(Attempt.AttemptId)},
      {"X-Deadline-Ms",
       fmt::format("{}", std::chrono::duration_cast<std::chrono::milliseconds>(
                             Attempt.TimeLeft)
                             .count())},
      {"X-Priority",
       Attempt.Class == service_class::Batch ? "batch" : "interactive"}};
  if (!Attempt.Incarnation.empty())
    Out.Headers.emplace_back("If-Match",
                             fmt::format("\"{}\"", Attempt.Incarnation));
  if (Attempt.ResumeAfter > 0)
    Out.Headers.emplace_back("Last-Event-ID",
                             fmt::format("{}", Attempt.ResumeAfter));
  if (!Attempt.Traceparent.empty())
    Out.Headers.emplace_back("traceparent", std::string(Attempt.Traceparent));
  const std::string_view Option = usageOption(Request);
  if (Option.empty()) {
    Out.Body = {Body};
    return Out;
  }
  const std::size_t Brace = Body.find('{');
  Out.Body = {Body.substr(0, Brace + 1), Option, Body.substr(Brace + 1)};
  return Out;
}

engine_head readEngineHead(const response_head &Head) {
  engine_head Result;
  Result.Status = Head.status();
  Result.RequestId = Head.header("X-Request-Id");
  Result.Incarnation = unquoted(Head.header("ETag"));
  Result.Load.QueuedMs = readNumber(Head.header("X-Queued-Ms"));
  Result.Load.Running = readNumber(Head.header("X-Running"));
  Result.IncarnationMismatch = Result.Status == PreconditionFailed;
  Result.NotRun = Result.IncarnationMismatch || Head.header("X-Ran") == "no";
  return Result;
}

std::optional<engine_usage> readUsage(std::string_view Json) {
  // Skips parsing for most events, which carry no usage.
  if (Json.find("\"usage\":{") == std::string_view::npos)
    return std::nullopt;
  simdjson::dom::element Root;
  simdjson::dom::object Usage;
  if (!parse(Json, Root) || Root["usage"].get(Usage) != simdjson::SUCCESS)
    return std::nullopt;
  engine_usage Result;
  Result.PromptTokens = numberField(Usage, "prompt_tokens");
  Result.CompletionTokens = numberField(Usage, "completion_tokens");
  simdjson::dom::object Details;
  if (Usage["prompt_tokens_details"].get(Details) == simdjson::SUCCESS)
    Result.CachedTokens = numberField(Details, "cached_tokens");
  return Result;
}

bool isWholeDocument(std::string_view Body) {
  simdjson::dom::element Root;
  return parse(Body, Root);
}

bool isUsageOnly(std::string_view Json) {
  simdjson::dom::element Root;
  simdjson::dom::array Choices;
  return parse(Json, Root) &&
         Root["choices"].get(Choices) == simdjson::SUCCESS &&
         Choices.size() == 0;
}

} // namespace ebonyvale

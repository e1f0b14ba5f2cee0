#include "daemon/request/model_session.h"

#include "daemon/connection/refusal_reply.h"
#include "daemon/process/logging.h"

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr int FirstServerError = 500;
constexpr int StatusOk = 200;

service_class readServiceClass(evhttp_request *Request) {
  return inputHeader(Request, "X-Priority") == "batch"
             ? service_class::Batch
             : service_class::Interactive;
}

} // namespace

model_session::model_session(router_core &Core, evhttp_request *Request,
                             configuration_ptr Config,
                             const caller_grant &Grant, const model &Model,
                             chat_request Chat)
    : caller_session(Core, Request, std::move(Config), Grant, Model.Name,
                     std::chrono::milliseconds(Model.DeadlineMs)),
      Model(Model), Route(std::get<chat_route>(Grant.Target)),
      Chat(std::move(Chat)), Body(inputBody(Request)),
      Class(readServiceClass(Request)) {
  const std::uint64_t Seed = chainSeed(
      {Core.settings().FleetSecret, team(), Model.Name, Model.Version});
  Chain = chainPieces(Seed, this->Chat.Prompt,
                      static_cast<std::size_t>(Model.PieceBytes));
  setFingerprint(fingerprintOf(Core.settings().FleetSecret, team(), Body));
}

token_cost model_session::cost() const {
  const auto PromptBytes = static_cast<std::int64_t>(Chat.Prompt.size());
  const std::int64_t PromptTokens =
      (PromptBytes + Model.TokenBytes - 1) / Model.TokenBytes;
  const std::int64_t CompletionTokens =
      Chat.MaxTokens.value_or(Model.MaxTokens);
  return {static_cast<double>(PromptTokens + CompletionTokens),
          static_cast<double>(PromptTokens)};
}

dispatch_request model_session::makeDispatchRequest() {
  dispatch_request Request;
  Request.Number = number();
  Request.Team = team();
  Request.Weight = config().Teams.find(team())->second.Weight;
  Request.Tokens = cost().Tokens;
  Request.Class = Class;
  Request.Chain = Chain;
  Request.PieceMs = static_cast<double>(Model.PieceMs);
  Request.Failed = failedUpstreams();
  Request.Suspected = isSuspected();
  Request.Deadline = deadline();
  for (const upstream *Engine : config().modelEngines(Model.Name))
    Request.Candidates.push_back(core().engines().idOf(Engine->Name));
  return Request;
}

outgoing_request
model_session::makeUpstreamRequest(const dispatch_start &Start) {
  Splitter = {};
  ResponseBody.clear();
  SawStreamEnd = false;
  const engine_state &Engine = core().engines().at(Start.Engine);
  engine_attempt Attempt;
  Attempt.AttemptId = flow().attemptId();
  // A restarted engine has lost its cache, so a placement that relies on cached
  // pieces requires the incarnation that has them.
  if (Start.ExpectedPieces > 0)
    Attempt.Incarnation = Engine.Incarnation;
  Attempt.ResumeAfter = flow().delivered();
  Attempt.Class = Class;
  Attempt.TimeLeft = timeLeft();
  const std::string Trace = traceparent();
  Attempt.Traceparent = Trace;
  return makeEngineRequest(Engine, Route, Chat, Body, Attempt);
}

void model_session::onHead(const response_head &Response) {
  Head = readEngineHead(Response);
  if (!flow().onHead(Head.RequestId)) {
    core().counters().StreamEventsCrossed.Increment();
    failAttempt(exchange_stage::Responding);
    return;
  }
  core().engines().onResponse(dispatchStart().Engine, Head.Incarnation,
                              Head.Load, readClock().Now);
  if (Head.NotRun) {
    onEngineRefusal();
    return;
  }
  if (Head.Status >= FirstServerError)
    failAttempt(exchange_stage::Responding);
}

void model_session::onEngineRefusal() {
  const auto Guard = shared_from_this();
  const bool Restarted = Head.IncarnationMismatch;
  if (Restarted)
    core().engines().onStaleIncarnation(dispatchStart().Engine);
  else
    avoidUpstream();
  const bool MayRetry = Restarted || spendRetry();
  dropExchange();
  const retry_decision Decision = flow().onNotRun(MayRetry, readClock().Now);
  endAttempt();
  execute(Decision);
}

void model_session::onBody(std::string_view Bytes) {
  if (Chat.Stream && Head.Status == StatusOk) {
    onStreamBytes(Bytes);
    return;
  }
  bufferResponse(Bytes, ResponseBody);
}

void model_session::onStreamBytes(std::string_view Bytes) {
  std::string Out;
  for (const sse_event &Event : Splitter.feed(Bytes)) {
    if (processEvent(Event, Out))
      continue;
    failAttempt(exchange_stage::Responding);
    return;
  }
  if (Splitter.overflowed()) {
    failAttempt(exchange_stage::Responding);
    return;
  }
  if (Out.empty())
    return;
  recordFirstToken();
  if (!reply().streaming())
    reply().startStream();
  deliver(Out);
}

/// Appends to \p Out what the caller receives for \p Event. Returns false when
/// the stream has a gap before it.
bool model_session::processEvent(const sse_event &Event, std::string &Out) {
  if (Event.Data == StreamEndData) {
    SawStreamEnd = true;
    return true;
  }
  switch (flow().onStreamEvent(Event.Id)) {
  case event_disposition::Deliver:
    break;
  case event_disposition::DropForeign:
    core().counters().StreamEventsCrossed.Increment();
    return true;
  case event_disposition::DropDuplicate:
    core().counters().StreamEventsRepeated.Increment();
    return true;
  case event_disposition::Gap:
    return false;
  }
  recordUsage(Event.Data);
  if (!Chat.IncludeUsage && Usage && isUsageOnly(Event.Data))
    return true;
  core().counters().StreamEventsDelivered.Increment();
  Out += "data: ";
  Out += Event.Data;
  Out += "\n\n";
  return true;
}

void model_session::recordUsage(std::string_view Json) {
  const auto Reported = readUsage(Json);
  if (!Reported)
    return;
  Usage = Reported;
  const auto Cached = static_cast<std::size_t>(
      Reported->CachedTokens * static_cast<double>(Model.TokenBytes) /
      static_cast<double>(Model.PieceBytes));
  core().reportCacheHits(dispatchStart(), Cached);
  core().counters().PromptPieces.Increment(static_cast<double>(Chain.size()));
  core().counters().CachedPieces.Increment(static_cast<double>(Cached));
}

void model_session::onComplete() {
  if (Chat.Stream && Head.Status == StatusOk) {
    if (!SawStreamEnd) {
      failAttempt(exchange_stage::Responding);
      return;
    }
    const auto Guard = shared_from_this();
    if (!reply().streaming())
      reply().startStream();
    reply().sendChunk(fmt::format("data: {}\n\n", StreamEndData));
    reply().endStream();
    succeed();
    return;
  }
  // A response without a length ends with its connection, which the system of
  // an engine that crashes closes in order too.
  if (Head.Status == StatusOk && !isWholeDocument(ResponseBody)) {
    failAttempt(exchange_stage::Responding);
    return;
  }
  sendBufferedResponse();
}

void model_session::sendBufferedResponse() {
  const auto Guard = shared_from_this();
  recordUsage(ResponseBody);
  recordFirstToken();
  reply().sendComplete(Head.Status, "application/json", ResponseBody);
  succeed();
}

void model_session::recordFirstToken() {
  if (std::exchange(SawFirstToken, true))
    return;
  core().counters().FirstTokenSeconds.Observe(
      toSeconds(readClock().Now - startedAt().Now));
}

void model_session::sendInterruption(const refusal &Refusal) {
  reply().sendChunk(streamErrorEvent(Refusal));
}

double model_session::usedTokens() const {
  if (Usage)
    return Usage->PromptTokens + Usage->CompletionTokens;
  // Without a usage report, a request that may have run counts with its full
  // cost.
  return dispatchStart().Number == 0 ? 0 : cost().Tokens;
}

response_options model_session::flowOptions() const {
  response_options Options;
  Options.Repeatable = true;
  Options.Resumable = Chat.Stream;
  return Options;
}

} // namespace ebonyvale

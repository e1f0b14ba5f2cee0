#include "daemon/request/model_session.h"

#include "daemon/connection/refusal_reply.h"
#include "daemon/process/logging.h"

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr int FirstServerError = 500;
constexpr int StatusOk = 200;

service_class classOf(evhttp_request *Request) {
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
      Chat(std::move(Chat)), Body(inputBody(Request)), Class(classOf(Request)) {
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
  const std::int64_t AnswerTokens = Chat.MaxTokens.value_or(Model.MaxTokens);
  return {static_cast<double>(PromptTokens + AnswerTokens),
          static_cast<double>(PromptTokens)};
}

dispatch_request model_session::makeSubmission() {
  dispatch_request Request;
  Request.Number = number();
  Request.Team = team();
  Request.Weight = config().Teams.find(team())->second.Weight;
  Request.Tokens = cost().Tokens;
  Request.Class = Class;
  Request.Chain = Chain;
  Request.PieceMs = static_cast<double>(Model.PieceMs);
  Request.Failed = failedUpstreams();
  Request.Suspected = suspected();
  Request.Deadline = deadline();
  for (const upstream *Engine : config().modelEngines(Model.Name))
    Request.Candidates.push_back(core().engines().idOf(Engine->Name));
  return Request;
}

outgoing_request model_session::makeRequest(const dispatch_start &Start) {
  Splitter = {};
  Whole.clear();
  SawEnd = false;
  const engine_state &Engine = core().engines().at(Start.Engine);
  engine_attempt Attempt;
  Attempt.AttemptId = flow().attemptId();
  // Only a placement that counts on cached pieces depends on the incarnation.
  if (Start.ExpectedPieces > 0)
    Attempt.Incarnation = Engine.Incarnation;
  Attempt.ResumeAfter = flow().delivered();
  Attempt.Class = Class;
  Attempt.TimeLeft = timeLeft();
  const std::string Trace = traceparent();
  Attempt.Traceparent = Trace;
  return makeEngineRequest(Engine, Route, Chat, Body, Attempt);
}

void model_session::onHead(const response_head &Answer) {
  Head = readEngineHead(Answer);
  if (!flow().onHead(Head.RequestId)) {
    core().counters().PiecesCrossed.Increment();
    loseAttempt(exchange_stage::Answering);
    return;
  }
  core().engines().onAnswer(attemptStart().Engine, Head.Incarnation, Head.Load,
                            readClock().Now);
  if (Head.NotRun) {
    refuseByEngine();
    return;
  }
  if (Head.Status >= FirstServerError)
    loseAttempt(exchange_stage::Answering);
}

void model_session::refuseByEngine() {
  const auto Guard = shared_from_this();
  const bool Stale = Head.OtherIncarnation;
  if (Stale)
    core().engines().onStaleIncarnation(attemptStart().Engine);
  else
    avoidUpstream();
  const bool MayRetry = Stale || retryAllowed();
  dropExchange();
  const flow_step Step = flow().onNotRun(MayRetry, readClock().Now);
  endAttempt();
  follow(Step);
}

void model_session::onBody(std::string_view Bytes) {
  if (Chat.Stream && Head.Status == StatusOk) {
    onStreamBytes(Bytes);
    return;
  }
  collect(Bytes, Whole);
}

void model_session::onStreamBytes(std::string_view Bytes) {
  std::string Out;
  for (const sse_event &Event : Splitter.feed(Bytes)) {
    if (takeEvent(Event, Out))
      continue;
    loseAttempt(exchange_stage::Answering);
    return;
  }
  if (Splitter.overflowed()) {
    loseAttempt(exchange_stage::Answering);
    return;
  }
  if (Out.empty())
    return;
  noteFirstToken();
  if (!reply().streaming())
    reply().startStream();
  deliver(Out);
}

/// Appends what the caller gets of an event; false when pieces are missing.
bool model_session::takeEvent(const sse_event &Event, std::string &Out) {
  if (Event.Data == StreamEndData) {
    SawEnd = true;
    return true;
  }
  switch (flow().onPiece(Event.Id)) {
  case piece_verdict::Deliver:
    break;
  case piece_verdict::DropCrossed:
    core().counters().PiecesCrossed.Increment();
    return true;
  case piece_verdict::DropRepeat:
    core().counters().PiecesRepeated.Increment();
    return true;
  case piece_verdict::Gap:
    return false;
  }
  takeUsage(Event.Data);
  if (!Chat.IncludeUsage && Usage && isUsageOnly(Event.Data))
    return true;
  core().counters().PiecesDelivered.Increment();
  Out += "data: ";
  Out += Event.Data;
  Out += "\n\n";
  return true;
}

void model_session::takeUsage(std::string_view Json) {
  const auto Read = readUsage(Json);
  if (!Read)
    return;
  Usage = Read;
  const auto Cached = static_cast<std::size_t>(
      Read->CachedTokens * static_cast<double>(Model.TokenBytes) /
      static_cast<double>(Model.PieceBytes));
  core().reportUsage(attemptStart(), Cached);
  core().counters().PromptPieces.Increment(static_cast<double>(Chain.size()));
  core().counters().CachedPieces.Increment(static_cast<double>(Cached));
}

void model_session::onComplete() {
  if (Chat.Stream && Head.Status == StatusOk) {
    if (!SawEnd) {
      loseAttempt(exchange_stage::Answering);
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
  answerWhole();
}

void model_session::answerWhole() {
  const auto Guard = shared_from_this();
  takeUsage(Whole);
  noteFirstToken();
  reply().sendComplete(Head.Status, "application/json", Whole);
  succeed();
}

void model_session::noteFirstToken() {
  if (std::exchange(SawFirst, true))
    return;
  core().counters().FirstTokenSeconds.Observe(
      toSeconds(readClock().Now - startedAt().Now));
}

void model_session::sendInterruption(const refusal &Refusal) {
  reply().sendChunk(interruptionEvent(Refusal));
}

double model_session::usedTokens() const {
  if (Usage)
    return Usage->PromptTokens + Usage->AnswerTokens;
  // Without a report whatever may have run counts as used.
  return attemptStart().Number == 0 ? 0 : cost().Tokens;
}

flow_rules model_session::rules() const {
  flow_rules Rules;
  Rules.Repeatable = true;
  Rules.Resumable = Chat.Stream;
  return Rules;
}

} // namespace ebonyvale

#include "gateway/request/forward_session.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <spdlog/fmt/fmt.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Advice where a refusal ends by itself soon.
constexpr span_ns ShortRetry = std::chrono::milliseconds(250);
/// Advice while the configuration cannot be proved.
constexpr span_ns ProofRetry = std::chrono::milliseconds(700);
/// Advice for requests that end the upstreams which run them.
constexpr span_ns QuarantineRetry = std::chrono::seconds(30);
/// Unsent bytes of a stream above which its upstream is not read.
constexpr std::size_t StreamBufferBytes = 64 * 1024;
/// Longest answer that is held until it is whole.
constexpr std::size_t MaxWholeBytes = 8 * 1024 * 1024;
/// Left for an answer to reach the caller before its deadline.
constexpr span_ns AnswerMargin = std::chrono::milliseconds(10);

constexpr int FirstServerError = 500;
constexpr int StatusOk = 200;

/// A point in [0, 1) that is the same for every attempt of a request.
double pointOf(std::string_view Id) {
  constexpr double Range = 18446744073709551616.0; // 2^64
  return static_cast<double>(XXH3_64bits(Id.data(), Id.size())) / Range;
}

std::string_view lossName(loss_reason Reason) {
  switch (Reason) {
  case loss_reason::ConnectFailed:
    return "connect_failed";
  case loss_reason::ConnectTimeout:
    return "connect_timeout";
  case loss_reason::Closed:
    return "closed";
  case loss_reason::Reset:
    return "reset";
  case loss_reason::InvalidResponse:
    break;
  }
  return "not_http";
}

} // namespace

forward_session::forward_session(gateway_core &Core, session_observer &Observer,
                                 std::shared_ptr<server_connection> Caller,
                                 http_request Request)
    : Core(Core), Observer(Observer), Caller(std::move(Caller)),
      Request(std::move(Request)), Routing(Core.routing()),
      Arrived(readBootClock()), Number(Core.enter()),
      DeadlineTimer(Core.base(), [this] { onDeadline(); }) {
  Core.requestStarted();
}

forward_session::~forward_session() { Core.requestEnded(); }

void forward_session::begin() {
  Self = shared_from_this();
  const auto Guard = Self;
  Core.counters().Requests.Increment();
  Caller->observe(weak_from_this());
  const auto Reason = admit(Arrived);
  if (Reason)
    return refuse(*Reason);
  DeadlineTimer.startOnce(timeLeft(Arrived));
  if (!Team || Team->Rate <= 0)
    return place();
  if (!Core.rosterKnown())
    return refuse({error_kind::NotReady,
                   "the instances that share the limits are not known yet",
                   ProofRetry});
  WaitsForTokens = true;
  Core.requestTokens(Number, Team->Name, limitCost(*Team, Facts),
                     weak_from_this());
}

std::optional<forward_refusal> forward_session::admit(instant Now) {
  auto Read = Core.protocols().Callers.describe(Request.Head);
  if (!Read)
    return forward_refusal{error_kind::BodyMalformed, Read.error().Detail};
  Facts = std::move(*Read);
  admission Outcome = admitForward(
      {Routing.get(), Core.proof(), Core.proofTerms(), Core.keySecret()}, Facts,
      Now);
  if (Outcome.Refusal)
    return Outcome.Refusal;
  Route = Outcome.Route;
  Team = Outcome.Team;
  Service = chooseService(*Route, pointOf(Facts.Id));
  Core.countRequest(Service, Now);
  Flow = forward_flow({Route->Repeat, Route->Resumable, Route->MaxAttempts});
  Deadline = Now +
             std::min(Facts.Deadline.value_or(Route->Timeout), Route->Timeout) -
             AnswerMargin;
  LastEvent = Facts.ResumeAfter;
  // The same on every instance, since they tell each other of losses.
  Fingerprint = fingerprintOf(
      "", fmt::format("{} {}", Team ? Team->Name : "", Request.Head.Target),
      Request.Body);
  if (Core.crashes().check(Fingerprint, Now) == suspicion::Quarantined)
    return forward_refusal{error_kind::RequestQuarantined, "", QuarantineRetry};
  CacheScope = cacheScope(Team, Facts);
  Parts = promptParts(CacheScope, Facts);
  return std::nullopt;
}

void forward_session::onTokens(const reservation &Granted) {
  const auto Guard = shared_from_this();
  WaitsForTokens = false;
  Reserved = Granted;
  place();
}

void forward_session::onNoTokens(const share_refuse &Refusal) {
  WaitsForTokens = false;
  refuse({error_kind::RateExceeded,
          fmt::format("asked {:.0f} tokens, {:.0f} available here",
                      Refusal.Figures.Asked, Refusal.Figures.Level),
          std::max<span_ns>(Refusal.RetryAfter, ShortRetry), Refusal.Figures});
}

schedule_query forward_session::query(instant Now) const {
  schedule_query Query;
  Query.Service = Service;
  Query.Model = Facts.Model;
  Query.Parts = Parts;
  Query.PromptTokens = static_cast<double>(Facts.PromptTokens);
  Query.AnswerTokens = static_cast<double>(Facts.AnswerTokens);
  Query.TimeLeft = timeLeft(Now);
  Query.Target = Route->Target;
  Query.Tried = Tried;
  return Query;
}

void forward_session::place() {
  // The process may have been suspended since the key was checked.
  const instant Now = readBootClock();
  const bool KeyHolds =
      !Team || Core.proof().coversKeys(Now, Core.proofTerms());
  if (timeLeft(Now) <= span_ns(0))
    return finishUnserved(Flow.giveUp(), {error_kind::DeadlineExceeded, ""});
  if (!KeyHolds)
    return finishUnserved(Flow.giveUp(),
                          {error_kind::NotReady,
                           "the configuration could not be proved lately",
                           ProofRetry});
  // Whoever arrived under an older version is judged by the newest one.
  if (Team && Core.routing() != Routing &&
      !Core.routing()->findTeam(hashKey(Core.keySecret(), Facts.Key)))
    return finishUnserved(Flow.giveUp(), {error_kind::KeyWithdrawn, ""});
  const schedule_outcome Outcome = Core.scheduler().choose(query(Now), Now);
  if (!Outcome.Choice)
    return finishUnserved(Flow.giveUp(), {Outcome.Refusal.Kind,
                                          fmt::format("service {}", Service),
                                          Outcome.Refusal.RetryAfter});
  send(*Outcome.Choice, Now);
}

void forward_session::send(const schedule_choice &Chosen, instant Now) {
  const upstream_entry *Entry = Core.directory().find(Chosen.Upstream);
  client_request Out;
  Out.Server = {Entry->Address, Entry->Port};
  Out.Method = Request.Head.Method;
  Out.Target = Request.Head.Target;
  attempt_facts Attempt;
  Attempt.Upstream = Chosen.Upstream;
  Attempt.TimeLeft = timeLeft(Now);
  // Parts are cached under the weights that made them; an upstream with any
  // other refuses, so that none is ever found under a wrong name.
  const std::string Scope =
      CacheScope.empty() || !Chosen.Weights
          ? CacheScope
          : fmt::format("{}:{}", CacheScope, *Chosen.Weights);
  Attempt.CacheScope = Scope;
  Attempt.Weights = Chosen.Weights;
  Attempt.FetchFrom = Chosen.FetchFrom;
  Attempt.SaveTo = Chosen.SaveTo;
  Attempt.ResumeAfter = LastEvent;
  if (Team)
    Attempt.Team = Team->Name;
  if (!Parts.empty())
    Attempt.Priority =
        Team && Team->Priority ? *Team->Priority : Route->Priority;
  Out.Headers =
      Core.protocols().Upstreams.attemptHeaders(Request.Head.Headers, Attempt);
  Out.Body = Request.Body;
  Choice = Chosen;
  SentAt = Now;
  HeadSeen = false;
  Whole.clear();
  Splitter = {};
  Core.scheduler().onSent(Chosen, query(Now), Now);
  if (Flow.attempts() > 0)
    Core.counters().Retries.Increment();
  Flow.onSent();
  const auto Age = Core.proof().age(Now);
  Core.log().info(event_category::Request, "sent",
                  {{"id", Facts.Id},
                   {"route", Route->Name},
                   {"team", Attempt.Team},
                   {"upstream", Chosen.Upstream},
                   {"attempt", Flow.attempts()},
                   {"expected_ms", Chosen.ExpectedMs},
                   {"backlog_ms", Chosen.BacklogMs},
                   {"prompt_tokens", Facts.PromptTokens},
                   {"engine_held_tokens", Chosen.EngineHeldTokens},
                   {"surplus_ms", Chosen.SurplusMs},
                   {"missed_tokens", Chosen.MissedTokens},
                   {"copied_tokens", Chosen.CopiedTokens},
                   {"fetch_from", Chosen.FetchFrom},
                   {"weights", Chosen.Weights.value_or(-1)},
                   {"left_ms", Attempt.TimeLeft},
                   {"version", Routing->Version},
                   {"evidence_age_ms", Age.value_or(UnknownAge)}});
  Exchange = Core.links().start(Out, *this);
}

response_action forward_session::onResponseHead(const http_head &Head,
                                                bool FirstOnConnection) {
  const instant Now = readBootClock();
  AnswerFacts = Core.protocols().Upstreams.readAnswer(Head, Choice->Upstream);
  // An answer without an id can only be trusted to be ours where no other
  // answer can have come before it.
  const bool Named = !AnswerFacts.RequestId.empty();
  if (Named ? AnswerFacts.RequestId != Facts.Id : !FirstOnConnection) {
    Core.log().warn(event_category::Request, "answer_crossed",
                    {{"id", Facts.Id},
                     {"upstream", Choice->Upstream},
                     {"answer_id", AnswerFacts.RequestId}});
    return response_action::Skip;
  }
  HeadSeen = true;
  Answer = Head;
  Core.scheduler().onAnswer(Choice->Upstream, Now - SentAt, AnswerFacts.Load,
                            Now);
  if (AnswerFacts.Weights && !Facts.Model.empty()) {
    Core.scheduler().onWeights(Choice->Upstream, Facts.Model,
                               *AnswerFacts.Weights);
    Observer.onUpstreamWeights(Choice->Upstream, Facts.Model,
                               *AnswerFacts.Weights);
  }
  return response_action::Take;
}

void forward_session::onResponseBody(std::string_view Bytes) {
  const auto Guard = shared_from_this();
  if (AnswerFacts.NotRun)
    return; // the caller gets a refusal of our own instead
  if (!Route->Streams || Answer.Status != StatusOk) {
    Whole += Bytes;
    if (Whole.size() > MaxWholeBytes)
      abandon("answer_too_large");
    return;
  }
  if (!Streaming)
    beginStream();
  if (!PassEvents)
    return deliver(Bytes);
  if (!deliverEvents(Bytes))
    abandon("events_out_of_order");
}

void forward_session::abandon(std::string_view Reason) {
  if (const auto Running = std::exchange(Exchange, nullptr))
    Running->cancel();
  Whole.clear();
  follow(attempt_end::Lost, Reason);
}

void forward_session::beginStream() {
  Streaming = true;
  PassEvents = Route->Resumable;
  Caller->beginStream(Answer.Status,
                      Core.protocols().Callers.answerHeaders(Answer.Headers));
}

/// Passes whole events on; false when one is not behind the last.
bool forward_session::deliverEvents(std::string_view Bytes) {
  std::string Out;
  for (const sse_event &Event : Splitter.feed(Bytes)) {
    if (!Event.Id.empty()) {
      std::int64_t Id = 0;
      const auto [End, Error] = std::from_chars(
          Event.Id.data(), Event.Id.data() + Event.Id.size(), Id);
      if (Error != std::errc() || (LastEvent && Id <= *LastEvent))
        return false;
      LastEvent = Id;
    }
    if (const auto Weights = Core.protocols().Upstreams.eventWeights(Event.Raw))
      Core.scheduler().onWeights(Choice->Upstream, Facts.Model, *Weights);
    Out += Event.Raw;
  }
  if (Splitter.overflowed())
    return false;
  deliver(Out);
  return true;
}

void forward_session::deliver(std::string_view Bytes) {
  if (Bytes.empty())
    return;
  noteFirstPart();
  Flow.onDelivered();
  Caller->writeChunk(Bytes);
  if (Caller->unsentBytes() > StreamBufferBytes && Exchange)
    Exchange->pauseReading();
}

void forward_session::noteFirstPart() {
  if (std::exchange(SawFirstPart, true))
    return;
  FirstPartAt = readBootClock();
  if (Choice)
    Core.scheduler().onFirstPart(*Choice, FirstPartAt - SentAt, FirstPartAt);
  Core.counters().FirstPartSeconds.Observe(toSeconds(FirstPartAt - Arrived));
}

void forward_session::onResponseEnd() {
  const auto Guard = shared_from_this();
  Exchange.reset();
  const instant Now = readBootClock();
  if (AnswerFacts.NotRun) {
    if (AnswerFacts.OtherProcess)
      Core.scheduler().onReplaced(Choice->Upstream);
    else if (AnswerFacts.OtherWeights)
      Core.scheduler().onWeightsUnknown(Choice->Upstream, Facts.Model, Now);
    else
      Core.scheduler().onFull(Choice->Upstream, Now);
    if (AnswerFacts.OtherProcess)
      return follow(attempt_end::NotMeant, "other_process");
    if (AnswerFacts.OtherWeights)
      return follow(attempt_end::NotMeant, "other_weights");
    return follow(attempt_end::NotRun, "not_run");
  }
  // The caller has a part of another upstream's stream, which this answer does
  // not continue.
  if (Streaming && Answer.Status != StatusOk)
    return follow(attempt_end::Lost, "not_a_stream");
  if (Answer.Status >= FirstServerError)
    return follow(attempt_end::ServerError, "server_error");
  if (Streaming) {
    deliver(Splitter.rest());
    endAttempt(Now);
    Caller->endStream();
    Core.counters().Answered.Increment();
    return finish("streamed");
  }
  passAnswerOn();
}

void forward_session::passAnswerOn() {
  endAttempt(readBootClock());
  noteFirstPart();
  Caller->writeResponse(Answer.Status,
                        Core.protocols().Callers.answerHeaders(Answer.Headers),
                        Whole);
  Core.counters().Answered.Increment();
  finish("answered");
}

void forward_session::onResponseLost(const exchange_loss &Loss) {
  const auto Guard = shared_from_this();
  Exchange.reset();
  const instant Now = readBootClock();
  Core.counters().onUpstreamLoss(lossName(Loss.Reason));
  Core.scheduler().onFailure(Choice->Upstream, Now);
  if (Loss.Stage == exchange_stage::NotSent)
    return follow(attempt_end::NotSent, lossName(Loss.Reason));
  // A kept connection that ends unread tells nothing about the request.
  const bool MayBeCrash = Loss.Reason != loss_reason::InvalidResponse &&
                          !(Loss.ReusedConnection && !HeadSeen);
  if (MayBeCrash)
    Core.reportLoss(Fingerprint, Choice->Upstream, Now);
  follow(attempt_end::Lost, lossName(Loss.Reason));
}

/// The present attempt occupies its upstream no more.
void forward_session::endAttempt(instant Now) {
  if (Choice)
    Core.scheduler().onEnded(*Choice, Now);
}

void forward_session::follow(attempt_end End, std::string_view Reason) {
  const instant Now = readBootClock();
  endAttempt(Now);
  Tried.push_back(Choice->Upstream);
  const bool Quarantined =
      Core.crashes().check(Fingerprint, Now) == suspicion::Quarantined;
  // Asked only where another attempt is allowed at all, since it is taken.
  const bool Allowed = Flow.mayTryAgain() || End == attempt_end::NotMeant;
  const bool Budget = End != attempt_end::NotSent && !Quarantined && Allowed &&
                      Core.takeRetry(Service, Now);
  const forward_next Next = Flow.onEnd(End, Budget);
  Core.log().info(event_category::Request, "attempt_ended",
                  {{"id", Facts.Id},
                   {"upstream", Choice->Upstream},
                   {"attempt", Flow.attempts()},
                   {"reason", Reason},
                   {"status", HeadSeen ? Answer.Status : 0},
                   {"after_ms", Now - SentAt},
                   {"again", Next == forward_next::TryElsewhere}});
  if (Next == forward_next::TryElsewhere) {
    if (Streaming)
      Core.counters().Resumed.Increment();
    return place();
  }
  if (Next == forward_next::PassOn) {
    Choice.reset();
    return passAnswerOn();
  }
  error_kind Kind = error_kind::OutcomeUnknown;
  if (End == attempt_end::NotRun || End == attempt_end::NotMeant)
    Kind = error_kind::UpstreamRefused;
  else if (Streaming)
    Kind = error_kind::StreamInterrupted;
  finishUnserved(Next, {Kind, std::string(Reason), ShortRetry});
}

void forward_session::finishUnserved(forward_next Next,
                                     const forward_refusal &Reason) {
  // A head that was passed on cannot be taken back.
  if (Next == forward_next::BreakOff || Streaming) {
    Core.log().warn(event_category::Request, "broken_off",
                    {{"id", Facts.Id},
                     {"kind", errorRow(Reason.Kind).Name},
                     {"detail", Reason.Detail},
                     {"last_event", LastEvent.value_or(-1)}});
    Caller->abortResponse();
    return finish("broken_off");
  }
  refuse(Reason);
}

void forward_session::refuse(const forward_refusal &Reason) {
  const auto Guard = shared_from_this();
  const bool MayHaveRun = Flow.mayHaveRun();
  const caller_protocol &Protocol = Core.protocols().Callers;
  const int Status = Protocol.refusalStatus(Reason.Kind, MayHaveRun);
  const span_ns RetryAfter = MayHaveRun ? span_ns(0) : Reason.RetryAfter;
  refusal Record;
  Record.Kind = Reason.Kind;
  Record.Team = Team ? Team->Name : "";
  Record.Route = Route ? Route->Name : Facts.Path;
  Record.Detail = Reason.Detail;
  Record.Figures = Reason.Figures;
  Core.recordRefusal(std::move(Record), Facts.Id, Status, RetryAfter);
  Caller->writeResponse(Status, Protocol.refusalHeaders(&Facts, RetryAfter),
                        fmt::format(R"({{"error":"{}","ran":"{}"}})",
                                    errorRow(Reason.Kind).Name,
                                    MayHaveRun ? "unknown" : "no"));
  finish("refused");
}

void forward_session::onDeadline() {
  const auto Guard = shared_from_this();
  if (Ended)
    return;
  const instant Now = readBootClock();
  if (timeLeft(Now) > span_ns(0)) {
    DeadlineTimer.startOnce(timeLeft(Now));
    return;
  }
  forward_next Next = Flow.giveUp();
  if (const auto Running = std::exchange(Exchange, nullptr)) {
    Running->cancel();
    endAttempt(Now);
    // Sent and unanswered: it may have run.
    Flow.onEnd(attempt_end::Lost, false);
    Next = Flow.giveUp();
  }
  finishUnserved(Next, {error_kind::DeadlineExceeded, ""});
}

void forward_session::onClientDisconnected() {
  const auto Guard = shared_from_this();
  Core.counters().ClientsGone.Increment();
  if (const auto Running = std::exchange(Exchange, nullptr)) {
    Running->cancel();
    endAttempt(readBootClock());
    Flow.onEnd(attempt_end::Lost, false);
  }
  finish("caller_gone");
}

void forward_session::onClientDrained() {
  if (Exchange)
    Exchange->resumeReading();
}

void forward_session::finish(std::string_view Outcome) {
  if (std::exchange(Ended, true))
    return;
  const instant Now = readBootClock();
  DeadlineTimer.stop();
  if (const auto Running = std::exchange(Exchange, nullptr))
    Running->cancel();
  if (WaitsForTokens)
    Core.withdrawTokens(Number, Team->Name);
  if (Reserved) {
    // Only what provably never ran comes back.
    const bool Ran = Flow.mayHaveRun() || Outcome == "answered" ||
                     Outcome == "streamed" || Flow.delivered();
    Core.shares().settle(Team->Name, *Reserved, Ran ? Reserved->Tokens : 0,
                         Now);
  }
  Core.counters().AnswerSeconds.Observe(toSeconds(Now - Arrived));
  Core.log().info(event_category::Request, "ended",
                  {{"id", Facts.Id},
                   {"outcome", Outcome},
                   {"status", Answer.Status},
                   {"attempts", Flow.attempts()},
                   {"first_ms", FirstPartAt - Arrived},
                   {"after_ms", Now - Arrived}});
  callLater(Core.base(), [Guard = std::move(Self)] {});
}

} // namespace ebonyvale

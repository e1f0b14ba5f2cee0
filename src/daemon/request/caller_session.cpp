#include "daemon/request/caller_session.h"

#include "daemon/connection/refusal_reply.h"
#include "daemon/process/logging.h"

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

attempt_stage toAttemptStage(exchange_stage Stage) {
  switch (Stage) {
  case exchange_stage::NotSent:
    return attempt_stage::NotSent;
  case exchange_stage::Sent:
    return attempt_stage::Sent;
  case exchange_stage::Responding:
    break;
  }
  return attempt_stage::Responding;
}

} // namespace

caller_session::caller_session(router_core &Core, evhttp_request *Request,
                               configuration_ptr Config,
                               const caller_grant &Grant, std::string Route,
                               span_ns Deadline)
    : Core(Core), Config(std::move(Config)), Grant(Grant), Team(Grant.team()),
      Route(std::move(Route)), Started(readClock()),
      Deadline(Started.Now + Deadline), Reply(Request, *this),
      ResponseMemory(Core.callerMemory().lease()),
      RequestSpan(startServerSpan(Core.tracer(), this->Route,
                                  inputHeader(Request, "traceparent"))),
      Flow("", response_options{}),
      DeadlineTimer(Core.base(), [this] { onDeadline(); }) {}

void caller_session::begin(const token_cost &Cost) {
  Self = shared_from_this();
  const auto Guard = Self;
  Number = Core.registerRequest(weak_from_this());
  startFlow();
  DeadlineTimer.startOnce(timeLeft());
  if (Team.empty()) {
    submit();
    return;
  }
  const auto Limits = Config->Teams.find(Team);
  if (Limits == Config->Teams.end()) {
    refuse(error_kind::KeyUnknown, "the key's team does not exist");
    return;
  }
  const auto Burst = static_cast<double>(Limits->second.Burst);
  if (Cost.Tokens > Burst) {
    refuse(
        error_kind::RequestExceedsBurst,
        fmt::format("{} tokens requested, the burst is {}", Cost.Tokens, Burst),
        span_ns(0), {Cost.Tokens, Burst, Burst});
    return;
  }
  Core.requestTokens(Number, Team, Cost);
}

void caller_session::startFlow() {
  response_options Options = flowOptions();
  Options.Deadline = Deadline;
  Flow = response_flow(fmt::format("{}-{:x}-{}", Core.settings().InstanceName,
                                   Core.bootId(), Number),
                       Options);
}

void caller_session::onAdmitted(const reservation &Granted) {
  Reserved = Granted;
  submit();
}

void caller_session::onAdmissionRefused(const refuse_action &Refusal) {
  refuse(
      error_kind::RateExceeded,
      fmt::format("{:.0f} tokens requested, {:.0f} available on this instance",
                  Refusal.Figures.Requested, Refusal.Figures.Level),
      Refusal.RetryAfter, Refusal.Figures);
}

void caller_session::submit() {
  const auto Guard = shared_from_this();
  Phase = phase::Queued;
  Core.submit(makeDispatchRequest());
}

void caller_session::onDispatchStarted(const dispatch_start &Dispatch) {
  const auto Guard = shared_from_this();
  Start = Dispatch;
  Running = true;
  Phase = phase::AtUpstream;
  if (Flow.attempts() == 0)
    Core.countFirstAttempt(Team);
  Flow.begin();
  AttemptSpan =
      startClientSpan(Core.tracer(), "upstream request", *RequestSpan);
  AttemptSpan->SetTag("server.address", Core.engines().at(Start.Engine).Name);
  AttemptSpan->SetTag("ebonyvale.expected_pieces",
                      static_cast<std::int64_t>(Start.ExpectedPieces));
  Exchange = upstream_exchange::start(Core.connections(),
                                      makeUpstreamRequest(Start), *this);
}

void caller_session::onDispatchRefused(const dispatch_refuse &Refusal) {
  refuse(Flow.onNoUpstream(Refusal.Kind).Kind, {}, Refusal.RetryAfter);
}

void caller_session::onConfigurationChange(const configuration &Newer) {
  if (!Grant.Key || Phase == phase::Ended)
    return;
  const auto Key = Newer.Keys.find(Grant.Key->Id);
  if (Key != Newer.Keys.end() && Key->second.Withdrawn && Key->second.Cut)
    refuse(mayHaveRun() ? error_kind::KeyCut : error_kind::KeyWithdrawn);
}

void caller_session::onClientDisconnected() {
  Core.counters().CallersGone.Increment();
  end();
}

void caller_session::onDrained() {
  if (Exchange)
    Exchange->resumeReading();
}

void caller_session::onLost(exchange_stage Stage) {
  const auto Guard = shared_from_this();
  Exchange.reset();
  // A request that the upstream may have run may itself have caused the loss of
  // the connection, so the crash tracker counts the loss. A bad response from a
  // live connection is not counted.
  const bool MayHaveRun = Stage != exchange_stage::NotSent;
  if (Fingerprint && MayHaveRun &&
      Core.crashes().onLost(*Fingerprint, {Start.Engine}, readClock().Now) ==
          suspicion::Quarantined) {
    reportUpstreamFailure();
    Core.announceQuarantine(*Fingerprint);
    endAttempt();
    refuse(error_kind::RequestSuspected);
    return;
  }
  failAttempt(Stage);
}

void caller_session::failAttempt(exchange_stage Stage) {
  const auto Guard = shared_from_this();
  dropExchange();
  reportUpstreamFailure();
  const retry_decision Decision =
      Flow.onLost(toAttemptStage(Stage), spendRetry(), readClock().Now);
  endAttempt();
  execute(Decision);
}

void caller_session::execute(const retry_decision &Decision) {
  switch (Decision.Action) {
  case retry_decision::action::Retry:
    submit();
    return;
  case retry_decision::action::Refuse:
  case retry_decision::action::Interrupt:
    refuse(Decision.Kind);
    return;
  }
}

void caller_session::reportUpstreamFailure() {
  avoidUpstream();
  Core.reportFailure(Start.Engine);
}

bool caller_session::isSuspected() {
  return Fingerprint &&
         Core.crashes().check(*Fingerprint, readClock().Now) != suspicion::None;
}

bool caller_session::spendRetry() { return Core.tryRetry(Team); }

void caller_session::deliver(std::string_view Bytes) {
  Reply.sendChunk(Bytes);
  const auto Limit =
      static_cast<std::size_t>(Core.settings().StreamBufferBytes);
  if (Exchange && Reply.unsentBytes() > Limit)
    Exchange->pauseReading();
}

void caller_session::bufferResponse(std::string_view Bytes,
                                    std::string &Buffer) {
  const std::size_t Size = Buffer.size() + Bytes.size();
  const bool TooLarge =
      Size > static_cast<std::size_t>(Core.settings().AnswerBytes);
  // A string that grows may hold twice its bytes.
  if (!TooLarge && ResponseMemory.resize(2 * Size)) {
    Buffer += Bytes;
    return;
  }
  dropExchange();
  refuse(error_kind::UpstreamBadAnswer,
         TooLarge ? "the response exceeds the size limit"
                  : "connections hold too much memory to buffer the response");
}

void caller_session::succeed() {
  const auto Guard = shared_from_this();
  Core.counters().ResponsesDelivered.Increment();
  if (Fingerprint)
    Core.crashes().onCompleted(*Fingerprint);
  end();
}

void caller_session::refuse(error_kind Kind, std::string Detail,
                            span_ns RetryAfter, quota_figures Figures) {
  if (Phase == phase::Ended)
    return;
  const auto Guard = shared_from_this();
  refusal Refusal;
  Refusal.Kind = Kind;
  Refusal.Team = Team;
  Refusal.Route = Route;
  Refusal.At = readClock().Wall;
  Refusal.Figures = Figures;
  Refusal.Detail = std::move(Detail);
  const refusal &Recorded = Core.recordRefusal(std::move(Refusal));
  RequestSpan->SetTag("error.type", std::string(errorRow(Kind).Name));
  RequestSpan->SetTag("ebonyvale.reference", Recorded.Reference);
  if (Reply.streaming()) {
    sendInterruption(Recorded);
    Reply.endStream();
  } else {
    sendRefusal(Reply, Recorded, RetryAfter);
  }
  end();
}

void caller_session::endAttempt() {
  if (!std::exchange(Running, false))
    return;
  AttemptSpan->Finish();
  Core.finishRequest(Number, usedTokens());
}

void caller_session::dropExchange() {
  if (const auto Dropped = std::exchange(Exchange, nullptr))
    Dropped->cancel();
}

void caller_session::end() {
  if (Phase == phase::Ended)
    return;
  const auto Guard = std::move(Self);
  const phase Previous = std::exchange(Phase, phase::Ended);
  DeadlineTimer.stop();
  dropExchange();
  if (Previous == phase::AwaitingTokens)
    Core.withdrawTokens(Number, Team);
  if (Previous == phase::Queued)
    Core.withdrawSubmission(Number);
  endAttempt();
  if (Reserved)
    Core.shares().settle(Team, *Reserved, usedTokens(), readClock().Now);
  RequestSpan->SetTag("ebonyvale.team", Team);
  RequestSpan->Finish();
  Core.unregisterRequest(Number);
}

void caller_session::onDeadline() {
  refuse(mayHaveRun() ? error_kind::DeadlineExceeded
                      : error_kind::DeadlineTooShort,
         "the deadline has passed");
}

bool caller_session::mayHaveRun() const {
  return Phase == phase::AtUpstream || Flow.mayHaveRun();
}

span_ns caller_session::timeLeft() const {
  return std::max(span_ns(0), Deadline - readClock().Now);
}

} // namespace ebonyvale

#include "gateway/request/forward_session.h"

#include <algorithm>
#include <span>
#include <utility>

#include <spdlog/fmt/fmt.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Retry-After where the cause of a refusal usually ends soon.
constexpr span_ns ShortRetryAfter = std::chrono::milliseconds(250);
/// Retry-After while the configuration is not fresh or the instances that share
/// the rate limits are not known.
constexpr span_ns NotReadyRetryAfter = std::chrono::milliseconds(700);
/// Retry-After for a request that is quarantined because the upstreams that ran
/// it were lost.
constexpr span_ns QuarantineRetryAfter = std::chrono::seconds(30);
/// Attempts that relays may fail to send before a request is refused.
constexpr int MaxRelayFailures = 4;
/// Logged where no cost was learned.
constexpr double UnknownCost = -1;
/// Time reserved for a response to reach the caller before its deadline.
constexpr span_ns ResponseMargin = std::chrono::milliseconds(10);

/// Maps a request id to [0, 1), so that all attempts use the same service.
double unitHash(std::string_view Id) {
  constexpr double Range = 18446744073709551616.0; // 2^64
  return static_cast<double>(XXH3_64bits(Id.data(), Id.size())) / Range;
}

/// Returns the names of \p Segments for the log, separated by commas.
std::string segmentNames(std::span<const named_segment> Segments) {
  constexpr std::size_t MaxLength = 200;
  std::string Names;
  for (const named_segment &Segment : Segments)
    Names += (Names.empty() ? "" : ",") + Segment.Name;
  if (Names.size() > MaxLength)
    Names.resize(MaxLength);
  return Names;
}

} // namespace

forward_session::forward_session(gateway_core &Core, session_observer &Observer,
                                 std::shared_ptr<server_connection> Caller,
                                 http_request Request)
    : Core(Core), Observer(Observer), Caller(std::move(Caller)),
      Request(std::move(Request)), Routing(Core.routing()),
      ArrivedAt(readBootClock()), SessionNumber(Core.nextRequestNumber()),
      RefusalTimer(Core.base(), [this] { onNotRun(); }),
      StartTimer(Core.base(), [this] { onStartDeadline(); }),
      ResponseBody(Core.responseBuffers()),
      PartialEvent(Core.responseBuffers().lease()),
      VerifyTimer(Core.base(), [this] { onVerified(AskedUpstream); }),
      DeadlineTimer(Core.base(), [this] { onDeadline(); }) {
  Core.requestStarted(this);
}

forward_session::~forward_session() { Core.requestEnded(this); }

void forward_session::begin() {
  Self = shared_from_this();
  const auto Guard = Self;
  Core.counters().Requests.Increment();
  Caller->observe(weak_from_this());
  const auto Reason = admit(ArrivedAt);
  if (Reason)
    return refuse(*Reason);
  DeadlineTimer.startOnce(timeLeft(ArrivedAt));
  if (!Team || Team->Rate <= 0)
    return findOrigin();
  if (!Core.rosterKnown())
    return refuse({error_kind::NotReady,
                   "the instances that share the rate limits are not known yet",
                   NotReadyRetryAfter});
  AwaitingTokens = true;
  Core.requestTokens(SessionNumber, Team->Name, limitCost(*Team, ParsedRequest),
                     weak_from_this());
}

std::optional<forward_refusal> forward_session::admit(instant Now) {
  auto Read = Core.protocols().Callers.parseHead(Request.Head);
  if (!Read)
    return forward_refusal{error_kind::BodyMalformed, Read.error().Detail};
  ParsedRequest = std::move(*Read);
  admission Outcome = admitForward({Routing.get(), Core.configFreshness(),
                                    Core.freshnessOptions(), Core.keySecret()},
                                   ParsedRequest, Now);
  if (Outcome.Refusal)
    return Outcome.Refusal;
  Route = Outcome.Route;
  Team = Outcome.Team;
  // The rest of a stream goes to the service that began it.
  Service = chooseService(*Route, unitHash(ParsedRequest.Resumes.empty()
                                               ? ParsedRequest.Id
                                               : ParsedRequest.Resumes));
  Core.countRequest(Service, Now);
  Flow = forward_flow({Route->Repeat, Route->Resumable, Route->MaxAttempts});
  Deadline = Now +
             std::min(ParsedRequest.Deadline.value_or(Route->Timeout),
                      Route->Timeout) -
             ResponseMargin;
  LastEvent = ParsedRequest.ResumeAfter;
  // The fingerprint must be equal on all instances, which report lost upstreams
  // to each other by it.
  Fingerprint = fingerprintOf(
      "", fmt::format("{} {}", Team ? Team->Name : "", Request.Head.Target),
      Request.Body);
  Segments = segmentIds(ParsedRequest.Model, ParsedRequest.Segments);
  if (auto Refusal =
          quarantine(Core.segmentQuarantine().blockedFor(Segments, Now), Now))
    return Refusal;
  CacheScope = cacheScope(*Routing, Team, ParsedRequest);
  PromptSegments = promptSegments(CacheScope, ParsedRequest);
  return std::nullopt;
}

std::optional<forward_refusal>
forward_session::quarantine(std::optional<span_ns> SegmentsBlockedFor,
                            instant Now) const {
  if (Core.crashes().check(Fingerprint, Now) == suspicion::Quarantined)
    return forward_refusal{error_kind::RequestQuarantined, "",
                           QuarantineRetryAfter};
  if (SegmentsBlockedFor)
    return forward_refusal{error_kind::RequestQuarantined,
                           "a prompt segment crashed several upstreams",
                           *SegmentsBlockedFor};
  return std::nullopt;
}

void forward_session::onTokensReserved(const reservation &Granted) {
  const auto Guard = shared_from_this();
  AwaitingTokens = false;
  Reserved = Granted;
  findOrigin();
}

void forward_session::onTokensRefused(const refuse_action &Refusal) {
  AwaitingTokens = false;
  refuse(
      {error_kind::RateExceeded,
       fmt::format("{:.0f} tokens requested, {:.0f} available on this instance",
                   Refusal.Figures.Requested, Refusal.Figures.Level),
       std::max<span_ns>(Refusal.RetryAfter, ShortRetryAfter),
       Refusal.Figures});
}

schedule_query forward_session::makeQuery(instant Now) const {
  schedule_query Query;
  Query.Service = Service;
  Query.Model = ParsedRequest.Model;
  Query.Route = Route->Name;
  if (Team)
    Query.Team = Team->Name;
  Query.Software = StreamSoftware;
  Query.Unconfirmed = &Core.unconfirmedUpstreams();
  Query.ListedAt = Core.upstreamsConfirmedAt();
  Query.Segments = PromptSegments;
  Query.PromptTokens = static_cast<double>(ParsedRequest.PromptTokens);
  Query.ResponseTokens = static_cast<double>(ParsedRequest.ResponseTokens);
  Query.TimeLeft = timeLeft(Now);
  Query.Target = Route->Target;
  Query.Tried = Tried;
  Query.Unreached = Unreached;
  Query.Limits = &Core.upstreamLimits();
  Query.Pauses = &Core.upstreamPauses();
  Query.Brittle = &Core.brittleUpstreams();
  Query.Paths = &Core.upstreamPaths();
  Query.MayRelay = RelayFailures < MaxRelayFailures;
  if (!Core.releases().empty())
    Query.Releases = &Core.releases();
  return Query;
}

span_ns forward_session::retryAfter(instant Now) const {
  schedule_query Query = makeQuery(Now);
  Query.Tried = {};
  return std::max<span_ns>(ShortRetryAfter,
                           Core.scheduler().availableIn(Query, Now));
}

void forward_session::schedule() {
  // The process may have been suspended since the key was checked, so the
  // freshness of the configuration and the deadline are checked again.
  const instant Now = readBootClock();
  const bool KeyIsFresh = !Team || Core.configFreshness().isFreshForKeys(
                                       Now, Core.freshnessOptions());
  if (timeLeft(Now) <= span_ns(0))
    return fail(Flow.failureDecision(), {error_kind::DeadlineExceeded, ""});
  if (!KeyIsFresh)
    return fail(Flow.failureDecision(),
                {error_kind::NotReady,
                 "the configuration is too old to accept keys",
                 NotReadyRetryAfter});
  if (Core.configFreshness().isReplaced(Now, Core.freshnessOptions()))
    return fail(Flow.failureDecision(),
                {error_kind::NotReady,
                 "the configuration was replaced by one that has not been read "
                 "yet",
                 NotReadyRetryAfter});
  // A request admitted under an older configuration needs a key that is valid
  // in the current one.
  if (Team && Core.routing() != Routing &&
      !Core.routing()->findTeam(hashKey(Core.keySecret(), ParsedRequest.Key)))
    return fail(Flow.failureDecision(), {error_kind::KeyWithdrawn, ""});
  // The set of isolated teams may have changed meanwhile.
  if (std::string Scope = cacheScope(*Core.routing(), Team, ParsedRequest);
      Scope != CacheScope) {
    CacheScope = std::move(Scope);
    PromptSegments = promptSegments(CacheScope, ParsedRequest);
  }
  // Their ends may show that an upstream has restarted with other software.
  if (!StreamSoftware.empty())
    Core.links().noticeEnded();
  Core.updateScheduler();
  Core.updateRelays();
  schedule_outcome Outcome = Core.scheduler().choose(makeQuery(Now), Now);
  while (Outcome.Choice && lacksProof(*Outcome.Choice)) {
    if (askForProof(*Outcome.Choice, Now))
      return;
    Unreached.push_back(Outcome.Choice->Upstream);
    Outcome = Core.scheduler().choose(makeQuery(Now), Now);
  }
  if (!Outcome.Choice) {
    if (Outcome.Refusal.Kind == error_kind::QueueFull)
      Core.room().onFull(Service, Now);
    return fail(Flow.failureDecision(), {Outcome.Refusal.Kind, scheduleDetail(),
                                         Outcome.Refusal.RetryAfter});
  }
  // Asked last, since a suspected segment lets few requests pass.
  if (const auto Refusal =
          quarantine(Core.segmentQuarantine().tryPass(Segments, Now), Now))
    return fail(Flow.failureDecision(), *Refusal);
  if (const auto Refusal = askForRoom(*Outcome.Choice, Now))
    return fail(Flow.failureDecision(), *Refusal);
  send(*Outcome.Choice, Now);
}

std::optional<forward_refusal>
forward_session::askForRoom(const schedule_choice &Chosen, instant Now) {
  // Room that was given to a request is not taken from its retries.
  if (Flow.attempts() > 0)
    return std::nullopt;
  const double WorkMs =
      Chosen.ExpectedMs - Chosen.BacklogMs - Chosen.LatenessMs;
  const auto Refusal = Core.room().admit(
      {Service, Team ? std::string_view(Team->Name) : std::string_view(),
       ParsedRequest.Id, SessionNumber, priority(), WorkMs, Route->Target,
       timeLeft(Now)},
      Now);
  if (!Refusal)
    return std::nullopt;
  const std::string_view Bound = roomBoundName(Refusal->Bound);
  Core.counters().onRoomRefusal(Service, Bound);
  return forward_refusal{
      error_kind::QueueFull,
      fmt::format("service {} has room for {:.0f}% of the requests, bound {}: "
                  "priority {}, team asks for {:.0f} ms of work a second here "
                  "and its part is {:.0f}; requests wait {:.0f} ms",
                  Service, 100 * Refusal->Room.Fit, Bound, priority(),
                  Refusal->Share.Use, Refusal->Share.Part,
                  Refusal->Room.DelayMs),
      Refusal->RetryAfter,
      {}};
}

void forward_session::send(const schedule_choice &Chosen, instant Now) {
  VerifyUntil.reset();
  const upstream_entry *Entry = Core.directory().find(Chosen.Upstream);
  client_request Out;
  Out.Server = {Entry->Address, Entry->Port};
  Out.Method = Request.Head.Method;
  Out.Target = Request.Head.Target;
  attempt_info Attempt;
  Attempt.Upstream = Chosen.Upstream;
  Attempt.TimeLeft = timeLeft(Now);
  // The cache scope includes the version of the weights. An upstream that holds
  // another version refuses the request, so that prompt segments are never
  // cached or found under the wrong version.
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
  if (!PromptSegments.empty())
    Attempt.Priority = priority();
  Out.Headers =
      Core.protocols().Upstreams.attemptHeaders(Request.Head.Headers, Attempt);
  Out.Body = Request.Body;
  // Without an id, only a new connection tells which request a response
  // answers.
  Out.NewConnection = ParsedRequest.Id.empty();
  Out.Id = ParsedRequest.Id;
  if (!StreamSoftware.empty() &&
      Core.unconfirmedUpstreams().statesStart(*Entry))
    Out.ServerStart = Entry->Born;
  if (!Chosen.Relay.empty()) {
    Out.ServerStart = 0;
    Out.Server = Core.relayEndpoint(Chosen.Relay).value_or(endpoint{});
    eraseRelayHeaders(Out.Headers);
    Out.Headers.add(RelayUpstreamHeader, Chosen.Upstream);
    if (Route->Resumable)
      Out.Headers.add(RelaySoftwareHeader, Entry->Software);
    Core.upstreamPaths().onRelaySent(Chosen.Relay);
    Core.counters().SentThroughRelays.Increment();
  }
  Choice = Chosen;
  Target = Entry->process();
  SentAt = Now;
  Activity.onSent(Now);
  HeadReceived = false;
  RelayOutcome.reset();
  BodyReceived = false;
  ResponseBegun = false;
  ReusedConnection = false;
  ReadingPaused = false;
  RefusalBodyBytes = 0;
  ResponseBody.clear();
  Splitter = {};
  PartialEvent.resize(0);
  Boundaries = {};
  Core.scheduler().onSent(Chosen, makeQuery(Now), Now);
  AttemptSoftware = Entry->Software;
  Core.upstreamLimits().onSent(Chosen.Upstream, Now);
  // A version that has just started has no prompts cached, so a prefill of
  // shared segments says nothing of its speed.
  CountsLatency = Now >= Entry->WarmAt && Chosen.MissedTokens <= 0;
  FirstByteAfter.reset();
  Core.releases().onSent(Service, AttemptSoftware,
                         /*IsFirst=*/Flow.attempts() == 0, Now);
  if (Flow.attempts() > 0)
    Core.counters().Retries.Increment();
  Flow.onSent();
  Exchange = Core.links().start(Out, *this);
  if (Exchange->openedAt())
    onConnectionOpened();
  const auto Age = Core.configFreshness().age(Now);
  Core.log().info(
      event_category::Request, "sent",
      {{"id", ParsedRequest.Id},
       {"route", Route->Name},
       {"team", Attempt.Team},
       {"upstream", Chosen.Upstream},
       {"relay", Chosen.Relay},
       {"software", Entry->Software},
       {"born", Entry->Born},
       {"server_start", Exchange->serverStart()},
       {"resumes", ParsedRequest.Resumes},
       {"after_event", LastEvent.value_or(0)},
       {"attempt", Flow.attempts()},
       {"expected_ms", Chosen.ExpectedMs},
       {"backlog_ms", Chosen.BacklogMs},
       {"service_ms",
        Chosen.Learned ? Chosen.Learned->ExpectedMs : UnknownCost},
       {"slowness", Chosen.Learned ? Chosen.Learned->Slowness : UnknownCost},
       {"prompt_tokens", ParsedRequest.PromptTokens},
       {"engine_held_tokens", Chosen.EngineHeldTokens},
       {"surplus_ms", Chosen.LatenessMs},
       {"missed_tokens", Chosen.MissedTokens},
       {"copied_tokens", Chosen.CopiedTokens},
       {"fetch_from", Chosen.FetchFrom},
       {"weights", Chosen.Weights.value_or(-1)},
       {"outdated_ms", Chosen.OutdatedFor.value_or(UnknownAge)},
       {"left_ms", Attempt.TimeLeft},
       {"version", Routing->Version},
       {"evidence_age_ms", Age.value_or(UnknownAge)}});
  if (Chosen.StartBy)
    StartTimer.startOnce(*Chosen.StartBy - Now);
}

void forward_session::endAttempt(instant Now) {
  RefusalTimer.stop();
  StartTimer.stop();
  if (!Choice)
    return;
  Core.scheduler().onEnded(*Choice, Now);
  if (isRelayed())
    Core.upstreamPaths().onRelayEnded(Choice->Relay);
}

void forward_session::onAttemptEnd(attempt_outcome End,
                                   std::string_view Reason) {
  const instant Now = readBootClock();
  endAttempt(Now);
  Core.room().onEnded(Service, SessionNumber);
  if (End != attempt_outcome::NotSent)
    Tried.push_back(Choice->Upstream);
  const bool Quarantined =
      Core.crashes().check(Fingerprint, Now) == suspicion::Quarantined ||
      Core.segmentQuarantine().isSuspected(Segments, Now);
  // takeRetry spends a retry of the budget, so it is called only if another
  // attempt is allowed at all.
  // A stream of unknown origin cannot go on anywhere else.
  const bool MayRetry =
      (Flow.hasAttemptsLeft() || End == attempt_outcome::WrongTarget) &&
      (!Flow.delivered() || isOriginCertain()) && Flow.mayContinue();
  const bool HasBudget = End != attempt_outcome::NotSent && !Quarantined &&
                         MayRetry && Core.takeRetry(Service, Now);
  const forward_decision Next = Flow.onEnd(End, HasBudget);
  Core.log().info(event_category::Request, "attempt_ended",
                  {{"id", ParsedRequest.Id},
                   {"upstream", Choice->Upstream},
                   {"relay", Choice->Relay},
                   {"attempt", Flow.attempts()},
                   {"reason", Reason},
                   {"status", HeadReceived ? Response.Status : 0},
                   {"body", BodyReceived},
                   {"reused", ReusedConnection},
                   {"segments", segmentNames(ParsedRequest.Segments)},
                   {"after_ms", Now - SentAt},
                   {"again", Next == forward_decision::RetryElsewhere}});
  if (Next == forward_decision::RetryElsewhere) {
    if (Streaming)
      Core.counters().StreamsResumed.Increment();
    return schedule();
  }
  // An upstream's error must not promise what the upstream has not stated.
  if (Next == forward_decision::PassThrough &&
      !Core.protocols().Callers.promisesNotRun(Response.Status)) {
    Choice.reset();
    return forwardResponse();
  }
  error_kind Kind = error_kind::OutcomeUnknown;
  if (End == attempt_outcome::NotRun || End == attempt_outcome::WrongTarget)
    Kind = error_kind::UpstreamRefused;
  else if (Streaming)
    Kind = error_kind::StreamInterrupted;
  fail(Next, {Kind, std::string(Reason), retryAfter(Now)});
}

void forward_session::fail(forward_decision Next,
                           const forward_refusal &Reason) {
  // The response head has already been sent, so the connection is closed
  // instead.
  if (Next == forward_decision::Truncate || Streaming) {
    Core.log().warn(event_category::Request, "broken_off",
                    {{"id", ParsedRequest.Id},
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
  Record.Route = Route ? Route->Name : ParsedRequest.Path;
  Record.Detail = Reason.Detail;
  Record.Figures = Reason.Figures;
  Core.recordRefusal(std::move(Record), ParsedRequest.Id, Status, RetryAfter);
  Caller->writeResponse(
      Status, Protocol.refusalHeaders(&ParsedRequest, RetryAfter),
      fmt::format(R"({{"error":"{}","ran":"{}"}})", errorRow(Reason.Kind).Name,
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
  recordUnfinished(Now);
  giveUp({error_kind::DeadlineExceeded, ""}, Now);
}

void forward_session::endForStop() {
  if (Ended)
    return;
  const auto Guard = shared_from_this();
  giveUp({error_kind::Draining, "the grace period is over"}, readBootClock());
}

bool forward_session::cancelAttempt() {
  const auto Running = std::exchange(Exchange, nullptr);
  if (Running)
    Running->cancel();
  return std::exchange(AwaitingEnd, false) || Running;
}

void forward_session::giveUp(const forward_refusal &Reason, instant Now) {
  forward_decision Next = Flow.failureDecision();
  if (cancelAttempt()) {
    endAttempt(Now);
    // The request was sent and got no complete response, so it may have run.
    Flow.onEnd(attempt_outcome::Lost, false);
    Next = Flow.failureDecision();
  }
  fail(Next, Reason);
}

void forward_session::onClientDisconnected() {
  const auto Guard = shared_from_this();
  Core.counters().CallersGone.Increment();
  if (cancelAttempt()) {
    endAttempt(readBootClock());
    Flow.onEnd(attempt_outcome::Lost, false);
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
  VerifyTimer.stop();
  cancelAttempt();
  Core.room().onEnded(Service, SessionNumber);
  if (AwaitingTokens)
    Core.withdrawTokens(SessionNumber, Team->Name);
  if (Reserved) {
    // Tokens are returned only if the request certainly did not run.
    const bool Ran = Flow.mayHaveRun() || Outcome == "answered" ||
                     Outcome == "streamed" || Flow.delivered();
    Core.shares().settle(Team->Name, *Reserved, Ran ? Reserved->Tokens : 0,
                         Now);
  }
  Core.counters().ResponseSeconds.Observe(toSeconds(Now - ArrivedAt));
  Core.log().info(
      event_category::Request, "ended",
      {{"id", ParsedRequest.Id},
       {"outcome", Outcome},
       {"status", Response.Status},
       {"framing", HeadReceived ? framingName(Response) : ""},
       {"framed_for_caller", HasCallerFraming},
       {"inside_event", Streaming && Boundaries.insideEvent()},
       {"attempts", Flow.attempts()},
       {"first_ms", FirstBytesSeen ? FirstBytesAt - ArrivedAt : UnknownAge},
       {"after_ms", Now - ArrivedAt}});
  callLater(Core.base(), [Guard = std::move(Self)] {});
}

} // namespace ebonyvale

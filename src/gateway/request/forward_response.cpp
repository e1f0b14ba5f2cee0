// The responses of upstreams: which of them count, and their way to the caller.
#include "gateway/connection/end_verifier.h"
#include "gateway/request/forward_session.h"

#include <charconv>
#include <cmath>
#include <utility>

namespace ebonyvale {
namespace {

/// Unsent bytes to the caller above which reading from the upstream is paused.
constexpr std::size_t StreamBufferBytes = 64 * 1024;
/// Longest response that is buffered until it is complete.
constexpr std::size_t MaxBufferedBytes = 8 * 1024 * 1024;
/// Bytes and time that are spent on the body of a response which states that
/// the request was not run. Reading it to its end keeps the connection.
constexpr std::size_t MaxRefusalBodyBytes = 64 * 1024;
constexpr span_ns MaxRefusalBodyTime = std::chrono::milliseconds(100);
constexpr int FirstServerError = 500;
constexpr int StatusOk = 200;

/// Returns whether the body of \p Response consists of events. Without a
/// content type, that of a streaming route does.
bool hasEvents(const http_head &Response) {
  const auto Type = Response.Headers.find("Content-Type");
  return !Type || Type->starts_with("text/event-stream");
}

} // namespace

response_action forward_session::onResponseHead(const http_head &Head,
                                                bool FirstOnConnection) {
  const auto Guard = shared_from_this();
  const instant Now = readBootClock();
  if (isRelayed()) {
    RelayOutcome = readRelayOutcome(Head.Headers);
    if (RelayOutcome)
      return response_action::Take;
    http_head Relayed = Head;
    Relayed.CloseDelimited = Head.Headers.find(RelayFramingHeader) == "close";
    eraseRelayHeaders(Relayed.Headers);
    Core.upstreamPaths().onRelayed(Choice->Relay);
    return onUpstreamHead(Relayed, /*FirstOnConnection=*/true, Now);
  }
  Core.onUpstreamReached(Target, Now);
  return onUpstreamHead(Head, FirstOnConnection, Now);
}

response_action forward_session::onUpstreamHead(const http_head &Head,
                                                bool FirstOnConnection,
                                                instant Now) {
  ResponseInfo =
      Core.protocols().Upstreams.readResponse(Head, Choice->Upstream);
  // A response without a request id is accepted only if it is the first on its
  // connection. Otherwise it may belong to an earlier request.
  const bool HasId = !ResponseInfo.RequestId.empty();
  if (HasId ? ResponseInfo.RequestId != ParsedRequest.Id : !FirstOnConnection) {
    Core.log().warn(event_category::Request, "answer_crossed",
                    {{"id", ParsedRequest.Id},
                     {"upstream", Choice->Upstream},
                     {"answer_id", ResponseInfo.RequestId}});
    return response_action::Skip;
  }
  // Upstreams echo the id. A response without one may be another program's that
  // has taken the address, and proves nothing about this request.
  if (!HasId && !ParsedRequest.Id.empty()) {
    abortAttempt("response_without_id");
    return response_action::Skip;
  }
  HeadReceived = true;
  Response = Head;
  Core.scheduler().onResponse(Choice->Upstream, Now - SentAt, ResponseInfo.Load,
                              Now);
  if (ResponseInfo.Load)
    Core.onUpstreamLoad(Choice->Upstream, *ResponseInfo.Load, Now);
  Core.onUpstreamLimit(Choice->Upstream, ResponseInfo, SentAt, Now);
  Core.onUpstreamStatement(Target, ResponseInfo, Now);
  if (ResponseInfo.Weights && !ParsedRequest.Model.empty()) {
    Core.scheduler().onWeights(Choice->Upstream, ParsedRequest.Model,
                               *ResponseInfo.Weights);
    Observer.onUpstreamWeights(Choice->Upstream, ParsedRequest.Model,
                               *ResponseInfo.Weights);
  }
  if (ResponseInfo.NotRun) {
    if (!isRelayed())
      Exchange->setRefused();
    RefusalTimer.startOnce(MaxRefusalBodyTime);
  } else if (Streaming && (Head.Status != StatusOk || !hasEvents(Head)))
    // The caller has received the beginning of another upstream's stream, which
    // this response does not continue.
    abortAttempt("not_a_stream");
  return response_action::Take;
}

void forward_session::onResponseBody(std::string_view Bytes) {
  const auto Guard = shared_from_this();
  if (RelayOutcome)
    return;
  if (ResponseInfo.NotRun) {
    // This body is not forwarded, and the head has told all that matters.
    RefusalBodyBytes += Bytes.size();
    if (RefusalBodyBytes > MaxRefusalBodyBytes)
      onNotRun();
    return;
  }
  if (!Bytes.empty() && !std::exchange(BodyReceived, true))
    FirstByteAfter = readBootClock() - SentAt;
  Activity.onBytes(Bytes.size(), readBootClock());
  if (!Route->Streams || Response.Status != StatusOk) {
    recordResponseBegun();
    if (ResponseBody.size() + Bytes.size() > MaxBufferedBytes)
      return abortAttempt("answer_too_large");
    if (!ResponseBody.append(Bytes))
      refuseBuffer();
    return;
  }
  if (!ResponseBegun && isSoftwareReplaced())
    return abortAttempt("software_replaced");
  if (!Streaming)
    beginStream();
  Boundaries.feed(Bytes);
  if (Boundaries.sawEvent())
    recordResponseBegun();
  if (!ForwardWholeEvents)
    return deliver(Bytes);
  if (!deliverEvents(Bytes))
    return abortAttempt("events_out_of_order");
  if (!PartialEvent.resize(2 * Splitter.rest().size()))
    refuseBuffer();
}

void forward_session::refuseBuffer() {
  Core.counters().BuffersRefused.Increment();
  Core.log().warn(event_category::Request, "buffer_refused",
                  {{"id", ParsedRequest.Id},
                   {"upstream", Choice->Upstream},
                   {"bytes", ResponseBody.size() + PartialEvent.size()},
                   {"all_bytes", Core.responseBuffers().used()}});
  abortAttempt("buffers_full");
}

void forward_session::recordResponseBegun() {
  if (!std::exchange(ResponseBegun, true) && !Segments.empty())
    Core.segmentQuarantine().onResponseBegun(readBootClock());
}

void forward_session::abortAttempt(std::string_view Reason) {
  if (const auto Running = std::exchange(Exchange, nullptr))
    Running->cancel();
  ResponseBody.clear();
  Splitter = {};
  PartialEvent.resize(0);
  Core.scheduler().onFailure(Choice->Upstream, readBootClock());
  onAttemptEnd(attempt_outcome::Lost, Reason);
}

void forward_session::beginStream() {
  Streaming = true;
  ForwardWholeEvents = Route->Resumable;
  const bool IsFramed = !endsWithConnection(Response, Request.Head.Method);
  Caller->beginStream(
      Response.Status,
      Core.protocols().Callers.responseHeaders(Response.Headers),
      IsFramed ? stream_framing::Chunked : stream_framing::CloseOrReset);
  HasCallerFraming = Caller->hasStreamFraming();
}

bool forward_session::deliverEvents(std::string_view Bytes) {
  std::string Out;
  bool InOrder = true;
  bool HasEvent = false;
  for (const sse_event &Event : Splitter.feedAll(Bytes)) {
    if (!Event.Id.empty()) {
      std::int64_t Id = 0;
      const auto [End, Error] = std::from_chars(
          Event.Id.data(), Event.Id.data() + Event.Id.size(), Id);
      InOrder = Error == std::errc() &&
                End == Event.Id.data() + Event.Id.size() &&
                (!LastEvent || Id > *LastEvent);
      if (!InOrder)
        break;
      LastEvent = Id;
    }
    if (Event.HasData || !Event.Id.empty()) {
      HasEvent = true;
      Flow.onPlaced(!Event.Id.empty());
    }
    if (const auto Weights = Core.protocols().Upstreams.eventWeights(Event.Raw))
      Core.scheduler().onWeights(Choice->Upstream, ParsedRequest.Model,
                                 *Weights);
    Out += Event.Raw;
  }
  // `LastEvent` counts them as delivered.
  if (HasEvent)
    deliver(Out);
  else
    passOn(Out);
  return InOrder && !Splitter.overflowed();
}

void forward_session::deliver(std::string_view Bytes) {
  if (Bytes.empty())
    return;
  recordFirstBytes();
  if (Route->Resumable && StreamSoftware.empty()) {
    StreamSoftware = AttemptSoftware;
    recordOrigin(readBootClock());
  }
  Flow.onDelivered();
  passOn(Bytes);
}

void forward_session::passOn(std::string_view Bytes) {
  if (Bytes.empty())
    return;
  Caller->writeChunk(Bytes);
  if (Caller->unsentBytes() > StreamBufferBytes && Exchange) {
    Activity.onPaused();
    ReadingPaused = true;
    Exchange->pauseReading();
  }
}

void forward_session::recordFirstBytes() {
  if (std::exchange(FirstBytesSeen, true))
    return;
  FirstBytesAt = readBootClock();
  if (Choice) {
    Core.scheduler().onFirstChunk(*Choice, FirstBytesAt - SentAt, FirstBytesAt);
    Core.counters().FirstChunkErrorSeconds.Observe(std::abs(
        toSeconds(FirstBytesAt - SentAt - fromMs(Choice->ExpectedMs))));
  }
  Core.room().onFirstChunk(Service, SessionNumber, FirstBytesAt);
  Core.counters().FirstChunkSeconds.Observe(
      toSeconds(FirstBytesAt - ArrivedAt));
}

void forward_session::onResponseEnd() {
  const auto Guard = shared_from_this();
  Exchange.reset();
  if (RelayOutcome)
    return onRelayOutcome(*RelayOutcome);
  if (ResponseInfo.NotRun)
    return onNotRun();
  if (isBrokenStream())
    return loseAttempt("incomplete_stream", crash_evidence::Lost);
  // A relay judges the end by itself.
  if (isRelayed() || !endsWithConnection(Response, Request.Head.Method))
    return completeResponse();
  AwaitingEnd = true;
  Core.endVerifier().verifyEnd(Target, Activity.aliveAt(), weak_from_this(),
                               readBootClock());
}

void forward_session::onEndJudged(end_verdict Verdict, end_proof Proof) {
  const auto Guard = shared_from_this();
  if (!std::exchange(AwaitingEnd, false))
    return;
  Core.log().info(event_category::Request, "end_judged",
                  {{"id", ParsedRequest.Id},
                   {"upstream", Choice->Upstream},
                   {"verdict", endVerdictName(Verdict)},
                   {"proof", endProofName(Proof)}});
  if (Verdict == end_verdict::Plausible)
    return completeResponse();
  // An upstream that leaves may end by itself.
  const upstream_entry *Entry = Core.directory().find(Choice->Upstream);
  loseAttempt("ended_with_upstream", Entry && Entry->isOpen()
                                         ? crash_evidence::Lost
                                         : crash_evidence::None);
}

void forward_session::recordOutcome(bool Failed, std::optional<span_ns> Latency,
                                    instant Now) {
  if (!Core.releases().isActive(Service))
    return;
  if (!CountsLatency)
    Latency.reset();
  Core.releases().onResponse(Service, AttemptSoftware, Target.Id, Route->Name,
                             {Failed, Latency}, Now);
  Core.log().info(event_category::Request, "release_response",
                  {{"id", ParsedRequest.Id},
                   {"service", Service},
                   {"route", Route->Name},
                   {"software", AttemptSoftware},
                   {"upstream", Target.Id},
                   {"status", HeadReceived ? Response.Status : 0},
                   {"failed", Failed},
                   {"first_byte_ms", Latency.value_or(UnknownAge)}});
}

void forward_session::recordUnfinished(instant Now) {
  if (!Exchange || !Choice || ResponseInfo.NotRun)
    return;
  // An attempt that had little time says nothing of its upstream.
  const span_ns Expected =
      Route->Target > span_ns(0) ? Route->Target : Route->Timeout / 2;
  if (FirstByteAfter || Now - SentAt >= Expected)
    recordOutcome(/*Failed=*/false, FirstByteAfter.value_or(Now - SentAt), Now);
}

void forward_session::completeResponse() {
  const instant Now = readBootClock();
  recordOutcome(Response.Status >= FirstServerError,
                FirstByteAfter.value_or(Now - SentAt), Now);
  if (Response.Status >= FirstServerError ||
      Core.protocols().Callers.promisesNotRun(Response.Status))
    return onAttemptEnd(attempt_outcome::ServerError, "server_error");
  // The last chunk would state an end that no upstream has sent.
  if (Streaming && HasCallerFraming &&
      endsWithConnection(Response, Request.Head.Method))
    return onAttemptEnd(attempt_outcome::Lost, "unproven_end");
  if (Streaming) {
    deliver(Splitter.rest());
    recordCost(readBootClock());
    endAttempt(readBootClock());
    Caller->endStream();
    Core.counters().CompletedResponses.Increment();
    Core.reportCompletion(Fingerprint, Segments, readBootClock());
    return finish("streamed");
  }
  forwardResponse();
}

bool forward_session::isBrokenStream() const {
  if (!Route->Streams || Response.Status != StatusOk || !hasEvents(Response))
    return false;
  // The system of an upstream that crashes closes its connections in order. If
  // only the end of the connection marks the end of the response, a stream
  // without an event proves nothing, unless it had only to be ended.
  const bool LacksBody = !BodyReceived && !LastEvent &&
                         Response.CloseDelimited &&
                         Request.Head.Method != "HEAD";
  return Boundaries.insideEvent() || LacksBody;
}

std::optional<loss_stage> forward_session::lossStage() const {
  if (ResponseBegun)
    return std::nullopt;
  return HeadReceived ? loss_stage::Begun : loss_stage::Waiting;
}

void forward_session::loseAttempt(std::string_view Reason,
                                  crash_evidence Evidence) {
  const instant Now = readBootClock();
  Core.counters().onUpstreamLoss(Reason);
  // Connections of a lost path say nothing about the upstream.
  const upstream_entry *Entry = Core.directory().find(Choice->Upstream);
  if (isRelayed() || !Entry || !Core.upstreamPaths().lostSince(*Entry))
    Core.scheduler().onFailure(Choice->Upstream, Now);
  if (!isRelayed())
    Core.onConnectionLost(Target, Now);
  // The former version stops at once when a release is completed.
  const bool IsPlanned =
      Core.releases().useOf(Service, AttemptSoftware, Target.Id,
                            /*Continues=*/false,
                            Now) == software_use::LastResort;
  if (Evidence == crash_evidence::Lost && !IsPlanned)
    Core.reportLoss(Fingerprint, Target, Segments, lossStage(),
                    /*IsInferred=*/false, Now);
  else if (Evidence == crash_evidence::Unexplained && !IsPlanned)
    inquireLoss(Now);
  onAttemptEnd(attempt_outcome::Lost, Reason);
}

void forward_session::inquireLoss(instant Now) {
  unexplained_loss Loss{Fingerprint, Target, Segments,
                        lossStage(), Now,    /*Lost=*/{}};
  if (isRelayed())
    Core.lossInquiries().awaitPeer(std::move(Loss));
  else
    Core.lossInquiries().ask(std::move(Loss));
}

void forward_session::onNotRun() {
  const auto Guard = shared_from_this();
  RefusalTimer.stop();
  if (const auto Running = std::exchange(Exchange, nullptr))
    Running->cancel();
  const instant Now = readBootClock();
  if (ResponseInfo.OtherProcess)
    Core.scheduler().onReplaced(Choice->Upstream);
  else if (ResponseInfo.OtherWeights)
    Core.scheduler().onWeightsMismatch(Choice->Upstream, ParsedRequest.Model,
                                       Now);
  else
    Core.onUpstreamFull(Target, Now);
  if (ResponseInfo.OtherProcess)
    return onAttemptEnd(attempt_outcome::WrongTarget, "other_process");
  if (ResponseInfo.OtherWeights)
    return onAttemptEnd(attempt_outcome::WrongTarget, "other_weights");
  onAttemptEnd(attempt_outcome::NotRun, "not_run");
}

void forward_session::onStartDeadline() {
  const auto Guard = shared_from_this();
  if (HeadReceived || !Exchange)
    return;
  std::exchange(Exchange, nullptr)->cancel();
  constexpr std::string_view Reason = "weights_replaced";
  Core.counters().onUpstreamLoss(Reason);
  onAttemptEnd(attempt_outcome::Lost, Reason);
}

void forward_session::recordCost(instant Now) {
  // A relay adds its own time, and a caller that does not read holds up the
  // response.
  if (!Choice || isRelayed() || ReadingPaused || Response.Status != StatusOk)
    return;
  // The rest of a stream that another upstream began has its first chunk
  // somewhere in between.
  if (Streaming && FirstBytesAt < SentAt)
    return;
  const span_ns FirstChunkAfter = (Streaming ? FirstBytesAt : Now) - SentAt;
  Core.scheduler().onServed(*Choice, FirstChunkAfter, Now - SentAt, Now);
}

void forward_session::forwardResponse() {
  recordCost(readBootClock());
  endAttempt(readBootClock());
  recordFirstBytes();
  header_list Headers =
      Core.protocols().Callers.responseHeaders(Response.Headers);
  HasCallerFraming = !endsWithConnection(Response, Request.Head.Method);
  if (isWithoutBody(Response, Request.Head.Method)) {
    addStatedLength(Response, Headers);
    Caller->beginStream(Response.Status, Headers);
    Caller->endStream();
  } else if (HasCallerFraming) {
    ResponseBody.sendTo(*Caller, Response.Status, Headers);
  } else {
    ResponseBody.sendUnframed(*Caller, Response.Status, Headers);
  }
  Core.counters().CompletedResponses.Increment();
  if (Response.Status == StatusOk)
    Core.reportCompletion(Fingerprint, Segments, readBootClock());
  finish("answered");
}

void forward_session::onResponseLost(const exchange_loss &Loss) {
  const auto Guard = shared_from_this();
  Exchange.reset();
  ReusedConnection = Loss.ReusedConnection;
  const bool Refused = HeadReceived && ResponseInfo.NotRun;
  if (isRelayed() && !Refused)
    return onRelayLost(Loss);
  if (Refused || Loss.Stage == exchange_stage::NotSent)
    Core.counters().onUpstreamLoss(lossName(Loss.Reason));
  // The head of a response proves that the request was not run, whatever became
  // of its body.
  if (Refused) {
    Core.scheduler().onFailure(Choice->Upstream, readBootClock());
    return onNotRun();
  }
  if (Loss.Stage == exchange_stage::NotSent) {
    Unreached.push_back(Choice->Upstream);
    Core.onConnectFailed(Target, Loss.Reason, readBootClock());
    return onAttemptEnd(attempt_outcome::NotSent, lossName(Loss.Reason));
  }
  crash_evidence Evidence = crash_evidence::Lost;
  if (Loss.Reason == loss_reason::InvalidResponse)
    Evidence = crash_evidence::None;
  else if (mayBeIdleClose(Loss.ReusedConnection, HeadReceived,
                          readBootClock() - SentAt))
    Evidence = crash_evidence::Unexplained;
  loseAttempt(lossName(Loss.Reason), Evidence);
}

} // namespace ebonyvale

#include "gateway/request/relay_session.h"

#include "gateway/connection/document_transfer.h"
#include "gateway/connection/end_verifier.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ebonyvale {
namespace {

/// Largest number of requests that are passed on at the same time.
constexpr std::size_t MaxRelayed = 256;
/// Status of a response that no upstream has sent.
constexpr int StatusRelayFailed = 503;
/// Unsent bytes to the peer above which reading from the upstream is paused.
constexpr std::size_t StreamBufferBytes = 64 * 1024;
/// Longest time of a request that states no deadline.
constexpr span_ns MaxDuration = std::chrono::seconds(60);
/// Added to the deadline, which the peer keeps to by itself.
constexpr span_ns DeadlineSlack = std::chrono::seconds(1);
/// Below the idle timeout of the listener.
constexpr std::string_view KeepAlive = "timeout=20";

struct outcome_row {
  relay_outcome Outcome;
  std::string_view Name;
};

constexpr std::array Outcomes{
    outcome_row{relay_outcome::Unreachable, "unreachable"},
    outcome_row{relay_outcome::Declined, "declined"},
    outcome_row{relay_outcome::Busy, "busy"},
    outcome_row{relay_outcome::Lost, "lost"},
    outcome_row{relay_outcome::LostWaiting, "lost_waiting"},
    outcome_row{relay_outcome::LostBegun, "lost_begun"},
    outcome_row{relay_outcome::LostReused, "lost_reused"}};

header_list outcomeHeaders(relay_outcome Outcome) {
  header_list Headers;
  Headers.add(RelayOutcomeHeader, relayOutcomeName(Outcome));
  Headers.add("Keep-Alive", KeepAlive);
  return Headers;
}

} // namespace

std::string_view relayOutcomeName(relay_outcome Outcome) {
  return std::ranges::find(Outcomes, Outcome, &outcome_row::Outcome)->Name;
}

std::optional<relay_outcome> readRelayOutcome(const header_list &Headers) {
  const auto Name = Headers.find(RelayOutcomeHeader);
  if (!Name)
    return std::nullopt;
  const auto Found = std::ranges::find(Outcomes, *Name, &outcome_row::Name);
  return Found == Outcomes.end() ? relay_outcome::Lost : Found->Outcome;
}

void eraseRelayHeaders(header_list &Headers) {
  Headers.erase(RelayUpstreamHeader);
  Headers.erase(RelayOutcomeHeader);
  Headers.erase(RelayFramingHeader);
  Headers.erase(RelaySoftwareHeader);
}

relay_session::relay_session(gateway_core &Core,
                             std::shared_ptr<server_connection> Peer,
                             http_request Request)
    : Core(Core), Peer(std::move(Peer)), Request(std::move(Request)),
      DeadlineTimer(Core.base(), [this] { onDeadline(); }) {
  Core.relayStarted();
}

relay_session::~relay_session() { Core.relayEnded(); }

void relay_session::begin() {
  Self = shared_from_this();
  const auto Guard = Self;
  Peer->observe(weak_from_this());
  Upstream = Request.Head.Headers.find(RelayUpstreamHeader).value_or("");
  Software = Request.Head.Headers.find(RelaySoftwareHeader).value_or("");
  const instant Now = readBootClock();
  if (const auto Refusal = checkUpstream(Now))
    return fail(*Refusal);
  auto Read = Core.protocols().Callers.parseHead(Request.Head);
  if (!Read)
    return fail(relay_outcome::Declined);
  ParsedRequest = std::move(*Read);
  DeadlineTimer.startOnce(
      ParsedRequest.Deadline.value_or(span_ns(MaxDuration)) + DeadlineSlack);
  if (!Software.empty())
    Core.links().noticeEnded();
  const upstream_entry *Entry = Core.directory().find(Upstream);
  if (Software.empty() ||
      (Entry->Software == Software && Core.isProven(*Entry)))
    return send(Now);
  if (Entry->Software != Software ||
      !Core.verifyUpstream(Upstream, weak_from_this(), Now))
    fail(relay_outcome::Declined);
}

void relay_session::onVerified(std::string_view) {
  const auto Guard = shared_from_this();
  if (Ended)
    return;
  const instant Now = readBootClock();
  if (const auto Refusal = checkUpstream(Now))
    return fail(*Refusal);
  const upstream_entry *Entry = Core.directory().find(Upstream);
  if (Entry->Software != Software || !Core.isProven(*Entry))
    return fail(relay_outcome::Declined);
  send(Now);
}

std::optional<relay_outcome> relay_session::checkUpstream(instant Now) const {
  if (Core.leaving() || Core.openRelays() > MaxRelayed)
    return relay_outcome::Busy;
  Core.updateScheduler();
  const upstream_entry *Entry = Core.directory().find(Upstream);
  if (!Entry || !Entry->isOpen() || Now < Core.upstreamPauses().endOf(*Entry))
    return relay_outcome::Declined;
  if (Core.upstreamPaths().lostSince(*Entry))
    return relay_outcome::Unreachable;
  return std::nullopt;
}

void relay_session::send(instant Now) {
  const upstream_entry *Entry = Core.directory().find(Upstream);
  client_request Out;
  Out.Server = {Entry->Address, Entry->Port};
  Out.Method = Request.Head.Method;
  Out.Target = Request.Head.Target;
  Out.Headers = Request.Head.Headers;
  eraseRelayHeaders(Out.Headers);
  for (const char *Name : {"Connection", "Content-Length", "Transfer-Encoding"})
    Out.Headers.erase(Name);
  Out.Body = Request.Body;
  Out.NewConnection = ParsedRequest.Id.empty();
  Out.Id = ParsedRequest.Id;
  if (!Software.empty() && Core.unconfirmedUpstreams().statesStart(*Entry))
    Out.ServerStart = Entry->Born;
  Target = Entry->process();
  SentAt = Now;
  Activity.onSent(Now);
  Core.counters().RelayedForPeers.Increment();
  Exchange = Core.links().start(Out, *this);
}

response_action relay_session::onResponseHead(const http_head &Head,
                                              bool FirstOnConnection) {
  const instant Now = readBootClock();
  const response_info Info =
      Core.protocols().Upstreams.readResponse(Head, Upstream);
  const bool HasId = !Info.RequestId.empty();
  if (HasId ? Info.RequestId != ParsedRequest.Id : !FirstOnConnection) {
    Core.log().warn(event_category::Request, "answer_crossed",
                    {{"id", ParsedRequest.Id},
                     {"upstream", Upstream},
                     {"answer_id", Info.RequestId}});
    return response_action::Skip;
  }
  HeadReceived = true;
  Response = Head;
  Core.onUpstreamReached(Target, Now);
  Core.scheduler().onResponse(Upstream, Now - SentAt, Info.Load, Now);
  Core.onUpstreamLimit(Upstream, Info, SentAt, Now);
  Core.onUpstreamStatement(Target, Info, Now);
  if (Info.OtherProcess)
    Core.scheduler().onReplaced(Upstream);
  if (Info.NotRun)
    Exchange->setRefused();
  return response_action::Take;
}

header_list relay_session::responseHeaders() const {
  header_list Headers =
      Core.protocols().Callers.responseHeaders(Response.Headers);
  eraseRelayHeaders(Headers);
  Headers.add(RelayFramingHeader, framingName(Response));
  Headers.add("Keep-Alive", KeepAlive);
  return Headers;
}

// The head is held back until the first byte of the body, so that a loss before
// it can still be told apart from one of the relay itself.
void relay_session::onResponseBody(std::string_view Bytes) {
  const auto Guard = shared_from_this();
  if (Bytes.empty())
    return;
  Activity.onBytes(Bytes.size(), readBootClock());
  if (!std::exchange(Forwarding, true))
    Peer->beginStream(Response.Status, responseHeaders());
  Peer->writeChunk(Bytes);
  if (Peer->unsentBytes() > StreamBufferBytes && Exchange) {
    Activity.onPaused();
    Exchange->pauseReading();
  }
}

void relay_session::onResponseEnd() {
  const auto Guard = shared_from_this();
  Exchange.reset();
  if (!endsWithConnection(Response, Request.Head.Method))
    return completeResponse();
  Core.endVerifier().verifyEnd(Target, Activity.aliveAt(), weak_from_this(),
                               readBootClock());
}

void relay_session::onEndJudged(end_verdict Verdict, end_proof Proof) {
  const auto Guard = shared_from_this();
  if (Ended)
    return;
  Core.log().info(event_category::Request, "end_judged",
                  {{"id", ParsedRequest.Id},
                   {"upstream", Upstream},
                   {"verdict", endVerdictName(Verdict)},
                   {"proof", endProofName(Proof)}});
  if (Verdict == end_verdict::Plausible)
    return completeResponse();
  Core.onConnectionLost(Target, readBootClock());
  if (Forwarding)
    Core.lossInquiries().tellPeers(Target);
  fail(relay_outcome::LostBegun);
}

void relay_session::completeResponse() {
  header_list Headers = responseHeaders();
  if (Forwarding) {
    Peer->endStream();
  } else if (isWithoutBody(Response, Request.Head.Method)) {
    // Earlier builds would wait for the body of other responses.
    if (Request.Head.Method == "HEAD")
      addStatedLength(Response, Headers);
    Peer->beginStream(Response.Status, Headers);
    Peer->endStream();
  } else {
    Peer->writeResponse(Response.Status, Headers, "");
  }
  finish("passed_on");
}

void relay_session::onResponseLost(const exchange_loss &Loss) {
  const auto Guard = shared_from_this();
  const instant Now = readBootClock();
  Exchange.reset();
  Core.counters().onUpstreamLoss(lossName(Loss.Reason));
  if (Loss.Stage == exchange_stage::NotSent) {
    Core.onConnectFailed(Target, Loss.Reason, Now);
    return fail(relay_outcome::Unreachable);
  }
  Core.onConnectionLost(Target, Now);
  if (Loss.Reason == loss_reason::InvalidResponse)
    return fail(relay_outcome::Lost);
  const bool MayBeIdle =
      mayBeIdleClose(Loss.ReusedConnection, HeadReceived, Now - SentAt);
  if (MayBeIdle || Forwarding)
    Core.lossInquiries().ask({std::nullopt, Target, /*Segments=*/{},
                              /*Stage=*/{}, Now, /*Lost=*/{}});
  if (MayBeIdle)
    return fail(relay_outcome::LostReused);
  fail(HeadReceived ? relay_outcome::LostBegun : relay_outcome::LostWaiting);
}

void relay_session::fail(relay_outcome Outcome) {
  if (Forwarding)
    Peer->abortResponse();
  else
    Peer->writeResponse(StatusRelayFailed, outcomeHeaders(Outcome), "");
  finish(relayOutcomeName(Outcome));
}

void relay_session::onDeadline() {
  const auto Guard = shared_from_this();
  if (!Ended)
    fail(relay_outcome::Lost);
}

void relay_session::onClientDisconnected() {
  const auto Guard = shared_from_this();
  finish("peer_gone");
}

void relay_session::onClientDrained() {
  if (Exchange)
    Exchange->resumeReading();
}

void relay_session::finish(std::string_view Outcome) {
  if (std::exchange(Ended, true))
    return;
  DeadlineTimer.stop();
  if (const auto Running = std::exchange(Exchange, nullptr))
    Running->cancel();
  Core.log().info(event_category::Request, "relayed",
                  {{"id", ParsedRequest.Id},
                   {"upstream", Upstream},
                   {"outcome", Outcome},
                   {"status", Response.Status}});
  callLater(Core.base(), [Guard = std::move(Self)] {});
}

void relay_handler::onRequest(const std::shared_ptr<server_connection> &Link,
                              http_request Request) {
  if (!Request.Head.Headers.find(RelayUpstreamHeader))
    return respondToFetch(*Link, Request, Core.documentProvider());
  std::make_shared<relay_session>(Core, Link, std::move(Request))->begin();
}

void relay_handler::onRequestError(server_connection &Link,
                                   request_error Reason) {
  if (Reason == request_error::NoMemory)
    Core.onMemoryRefusal();
  Link.writeResponse(StatusRelayFailed, outcomeHeaders(relay_outcome::Declined),
                     "");
}

} // namespace ebonyvale

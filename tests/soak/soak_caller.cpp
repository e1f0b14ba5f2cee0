#include "soak/soak_caller.h"

#include "soak/stream_events.h"

#include <algorithm>
#include <array>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

/// Longest pause between two requests of one caller.
constexpr std::int64_t MaxCallerPauseMs = 60;
/// Pause before a request if the gateway chosen for it does not listen.
constexpr span_ns RetryPause = 20ms;
constexpr span_ns CallerDeadline = 1500ms;
/// Time after the deadline at which a caller closes a connection without a
/// response.
constexpr span_ns CallerGrace = 1000ms;
/// Time after a caller's deadline for the response to arrive.
constexpr span_ns ResponseSlack = 500ms;
/// A gateway may close an idle connection while a request is on its way. If the
/// request was sent longer ago than this, the connection was not idle.
constexpr span_ns IdleRace = 100ms;
/// Time after which the platform's load balancer sends no new requests to a
/// stopping instance.
constexpr span_ns BalancerDelay = 2s;
constexpr int StatusOk = 200;
constexpr std::string_view ResumablePath = "/stream-on/";

} // namespace

void soak_environment::caller::send(const client_request &Out,
                                    const sent_request &Sent) {
  Request = Sent;
  Response = {};
  Busy = true;
  Environment.Checker.onRequestSent(Sent);
  GiveUpTimer.startOnce(CallerDeadline + CallerGrace);
  Exchange = Environment.Pool.start(Out, *this);
}

response_action soak_environment::caller::onResponseHead(const http_head &Head,
                                                         bool) {
  Response.Status = Head.Status;
  const auto Seal = Head.Headers.find("Ebonyvale-Server-Seal");
  Response.FromUpstream = Seal.has_value();
  if (Seal) {
    const std::string_view Upstream = Seal->substr(fake_upstream::Seal.size());
    const instant Now = readBootClock();
    if (Head.Headers.find("Server-Limit"))
      Environment.LimitChecker.onPassedOn(Upstream, Request.Gateway, Now);
    Environment.LeavingChecker.onPassedOn(Upstream, Request.Id, Request.Gateway,
                                          Now);
  }
  const auto Id = Head.Headers.find("Ebonyvale-Request-Id");
  if (Id && *Id != Request.Id)
    Environment.Violations.push_back(Request.Id + ": the response has the id " +
                                     std::string(*Id));
  return response_action::Take;
}

void soak_environment::caller::timeOut() {
  if (Exchange)
    Exchange->cancel();
  end();
}

void soak_environment::caller::end() {
  Exchange.reset();
  GiveUpTimer.stop();
  Busy = false;
  Response.ReportsNotRun =
      Response.Body.find(R"("ran":"no")") != std::string::npos;
  const instant Now = readBootClock();
  Environment.Checker.onResponse(Request.Id, Response, Now);
  const soak_gateway &Gateway = *Environment.Gateways[Request.Gateway];
  const bool Faulted = Gateway.faultedSince(Request.At);
  if (Environment.Options.CheckTimes && !Faulted &&
      Now - Request.At > CallerDeadline + ResponseSlack)
    Environment.Violations.push_back(fmt::format(
        "{} to gateway {}: ended with status {} after {:.0f} ms", Request.Id,
        Request.Gateway, Response.Status, toMs(Now - Request.At)));
  if (Request.Path == ResumablePath)
    endStream(Now);
  std::uniform_int_distribution<std::int64_t> Any(1, MaxCallerPauseMs);
  if (Environment.TrafficEnabled)
    PauseTimer.startOnce(std::chrono::milliseconds(Any(Environment.Random)));
}

void soak_environment::caller::endStream(instant Now) {
  stream_events Read;
  Read.Last = Request.After;
  if (Response.Status == StatusOk)
    Read = readEvents(Response.Body, Request.After);
  const bool KeyLasts = Request.Key == Environment.Keys.front();
  Environment.VersionChecker.onAttempt({Request.Id, Request.Resumes,
                                        Request.Gateway, Request.At, Now,
                                        Read.Writers, KeyLasts});
  const bool Ended = Response.Status == StatusOk && Response.Complete;
  if (Ended || Read.Last == 0 || Read.Last == fake_upstream::Events ||
      Request.Resumption == MaxResumptions)
    return;
  Next = Request;
  Next->Resumes = Request.Resumes.empty() ? Request.Id : Request.Resumes;
  Next->After = Read.Last;
  ++Next->Resumption;
}

void soak_environment::caller::sendNext() {
  const auto Resumed = std::exchange(Next, std::nullopt);
  if (!Resumed || !Environment.resumeElsewhere(*this, *Resumed))
    Environment.sendRequest(*this);
}

void soak_environment::caller::checkLoss(const exchange_loss &Loss) {
  const soak_gateway &Gateway = *Environment.Gateways[Request.Gateway];
  const instant Now = readBootClock();
  const bool Idle = Loss.ReusedConnection && Now - Request.At < IdleRace;
  const bool NoResponse =
      Response.Status == 0 && Loss.Stage != exchange_stage::NotSent;
  const bool ResponseDue = Gateway.StoppingSince != instant{} &&
                           Request.At - Gateway.StoppingSince < BalancerDelay &&
                           !Gateway.faultedSince(Request.At);
  if (NoResponse && ResponseDue && !Idle)
    Environment.Violations.push_back(
        fmt::format("{} to gateway {}: response lost by a planned stop",
                    Request.Id, Request.Gateway));
}

client_request soak_environment::requestFor(const sent_request &Sent) const {
  client_request Request;
  Request.Server = {"127.0.0.1", Gateways[Sent.Gateway]->CallerProxy.port()};
  Request.Method = "POST";
  Request.Target = Sent.Path + (Sent.Resumes.empty() ? Sent.Id : Sent.Resumes);
  Request.Headers.add("Host", "h.example");
  Request.Headers.add("Ebonyvale-Request-Id", Sent.Id);
  Request.Headers.add(
      "Ebonyvale-Deadline-Ms",
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(CallerDeadline)
              .count()));
  Request.Headers.add("Authorization", "Bearer " + Sent.Key);
  if (!Sent.Resumes.empty()) {
    Request.Headers.add("Last-Event-Id", std::to_string(Sent.After));
    if (Options.NameStreams)
      Request.Headers.add("Resumes", Sent.Resumes);
  }
  Request.Body = "the body";
  return Request;
}

void soak_environment::sendRequest(caller &Caller) {
  if (!TrafficEnabled)
    return;
  static constexpr std::array<const char *, 5> Paths{
      "/read/", "/order/", ResumablePath.data(), "/stream-once/", "/open/"};
  std::uniform_int_distribution<std::size_t> Any(0, 1 << 20);
  const std::size_t GatewayIndex = Any(Random) % Gateways.size();
  // No guarantee covers a request to a gateway that is not running.
  if (!Gateways[GatewayIndex]->Listening)
    return Caller.PauseTimer.startOnce(RetryPause);
  sent_request Sent;
  Sent.Id = fmt::format("r-{}", ++LastId);
  Sent.Path = Paths[Any(Random) % Paths.size()];
  if (Caller.StreamsOnly)
    Sent.Path = ResumablePath;
  // Some requests use keys that have been withdrawn.
  Sent.Key = fmt::format("key-{}", Any(Random) % KeysCreated);
  Sent.Gateway = GatewayIndex;
  Sent.At = readBootClock();
  if (std::ranges::find(Keys, Sent.Key) == Keys.end() || Any(Random) % 2 == 0)
    Sent.Key = Any(Random) % 4 == 0 ? Sent.Key : Keys.front();
  Caller.send(requestFor(Sent), Sent);
}

bool soak_environment::resumeElsewhere(caller &Caller, sent_request Next) {
  if (!TrafficEnabled)
    return false;
  for (std::size_t Step = 1; Step < Gateways.size(); ++Step) {
    const std::size_t Gateway = (Next.Gateway + Step) % Gateways.size();
    if (!Gateways[Gateway]->Listening)
      continue;
    Next.Id = fmt::format("r-{}", ++LastId);
    Next.Gateway = Gateway;
    Next.At = readBootClock();
    Caller.send(requestFor(Next), Next);
    return true;
  }
  return false;
}

} // namespace ebonyvale

#include "soak/silence_caller.h"

#include "platform/fake_upstream.h"
#include "soak/stream_events.h"

#include <array>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

constexpr span_ns Grace = 1s;      ///< after the deadline
constexpr span_ns LongGap = 700ms; ///< that an impatient caller takes
constexpr span_ns RetryPause = 20ms;
constexpr int StatusOk = 200;
constexpr std::string_view Resumable = "/stream-on/";

/// Callers know of no time after which a gateway closes idle connections other
/// than that of the configuration.
client_pool_options poolOptions() {
  client_pool_options Options;
  Options.DefaultIdleTimeout = 60s;
  return Options;
}

} // namespace

silence_environment::caller::caller(silence_environment &Owner, bool Impatient,
                                    bool Http10)
    : Environment(Owner), Impatient(Impatient), Http10(Http10),
      Pool(Owner.Base.get(), poolOptions()),
      PauseTimer(Owner.Base.get(), [this] { sendNext(); }),
      GapTimer(Owner.Base.get(), [this] { giveUp(); }),
      GiveUpTimer(Owner.Base.get(), [this] { giveUp(); }) {}

silence_environment::caller::~caller() {
  if (Exchange)
    Exchange->cancel();
}

void silence_environment::caller::sendNext() {
  if (!Environment.TrafficEnabled)
    return;
  const instant Now = readBootClock();
  if (auto Resumed = std::exchange(Next, std::nullopt)) {
    const auto Other = Environment.chooseGateway(Resumed->Gateway);
    if (!Other)
      return PauseTimer.startOnce(RetryPause);
    Resumed->Id = fmt::format("r-{}", ++Environment.LastId);
    Resumed->Gateway = *Other;
    Resumed->At = Now;
    return send(*Resumed);
  }
  constexpr int Moves = 5; // one request in so many goes to another gateway
  const bool Stays = Gateway && Environment.Gateways[*Gateway]->Listening &&
                     Environment.anyNumber(1, Moves) > 1;
  if (!Stays)
    Gateway = Environment.chooseGateway(std::nullopt);
  if (!Gateway)
    return PauseTimer.startOnce(RetryPause);
  static constexpr std::array<const char *, 7> Paths{
      "/read/",        "/order/",       "/stream-on/", "/stream-on/",
      "/stream-once/", "/stream-once/", "/open/"};
  sent_request Sent;
  Sent.Id = fmt::format("r-{}", ++Environment.LastId);
  Sent.Path = Paths[static_cast<std::size_t>(
      Environment.anyNumber(0, static_cast<int>(Paths.size()) - 1))];
  Sent.Key = "key-0";
  Sent.Gateway = *Gateway;
  Sent.At = Now;
  send(Sent);
}

void silence_environment::caller::send(const sent_request &Request) {
  Present = {};
  Present.Request = Request;
  Gateway = Request.Gateway;
  client_request Out;
  Out.Server = {"127.0.0.1",
                Environment.Gateways[Request.Gateway]->CallerProxy.port()};
  const auto Used = LastUse.find(Request.Gateway);
  const span_ns Idle =
      std::chrono::milliseconds(Environment.Routing.IdleTimeoutMs);
  if (Used != LastUse.end() && Request.At - Used->second > Idle * 4 / 5)
    Pool.closeIdleConnections(Out.Server);
  Out.Method = "POST";
  Out.Target =
      Request.Path + (Request.Resumes.empty() ? Request.Id : Request.Resumes);
  Out.Headers.add("Host", "h.example");
  Out.Headers.add("Ebonyvale-Request-Id", Request.Id);
  Out.Headers.add("Ebonyvale-Deadline-Ms",
                  fmt::format("{:.0f}", toMs(silence_checker::Deadline)));
  Out.Headers.add("Authorization", "Bearer " + Request.Key);
  if (!Request.Resumes.empty()) {
    Out.Headers.add("Last-Event-Id", std::to_string(Request.After));
    if (Environment.Options.NameStreams)
      Out.Headers.add("Resumes", Request.Resumes);
  }
  Out.Body = "the body";
  GiveUpTimer.startOnce(silence_checker::Deadline + Grace);
  start(Out);
  if (Present.Reused && Used != LastUse.end())
    Present.Idle = Request.At - Used->second;
}

void silence_environment::caller::start(const client_request &Out) {
  if (Http10) {
    OldExchange = std::make_unique<http10_exchange>(
        Environment.Base.get(), Out, *this, [this](const std::string &What) {
          Environment.Violations.push_back(fmt::format(
              "MIXED: framing: {}: HTTP/1.0, {}", Present.Request.Id, What));
        });
    return;
  }
  const std::uint64_t Opened = Pool.opened();
  Exchange = Pool.start(Out, *this);
  Present.Reused = Pool.opened() == Opened;
}

response_action
silence_environment::caller::onResponseHead(const http_head &Head, bool) {
  Present.Response.Status = Head.Status;
  Present.Response.CloseDelimited = Head.CloseDelimited;
  Present.Response.FromUpstream =
      Head.Headers.find("Ebonyvale-Server-Seal").has_value();
  const auto Id = Head.Headers.find("Ebonyvale-Request-Id");
  if (Id && *Id != Present.Request.Id)
    Environment.Violations.push_back(fmt::format(
        "MIXED: {}: the response has the id {}", Present.Request.Id, *Id));
  return response_action::Take;
}

void silence_environment::caller::onResponseBody(std::string_view Bytes) {
  Present.Response.Body += Bytes;
  if (Impatient && Present.Request.Path == Resumable)
    GapTimer.startOnce(LongGap);
}

void silence_environment::caller::onResponseEnd() {
  Present.Response.Complete = true;
  end();
}

void silence_environment::caller::onResponseLost(const exchange_loss &Loss) {
  Present.Sent = Loss.Stage != exchange_stage::NotSent;
  end();
}

void silence_environment::caller::giveUp() {
  if (Exchange)
    Exchange->cancel();
  Present.GaveUp = true;
  end();
}

void silence_environment::caller::end() {
  Exchange.reset();
  OldExchange.reset();
  GiveUpTimer.stop();
  GapTimer.stop();
  Present.EndedAt = readBootClock();
  Present.Response.ReportsNotRun =
      Present.Response.Body.find(R"("ran":"no")") != std::string::npos;
  LastUse[Present.Request.Gateway] = Present.EndedAt;
  ++Environment.Statuses[Present.Response.Status];
  planResumption();
  Environment.Checker.onEnded(Present);
  if (Environment.TrafficEnabled)
    PauseTimer.startOnce(Next ? RetryPause : nextPause());
}

void silence_environment::caller::planResumption() {
  const sent_request &Request = Present.Request;
  if (Request.Path != Resumable ||
      (Present.Response.Status == StatusOk && Present.Response.Complete) ||
      Request.Resumption == MaxResumptions)
    return;
  int Last = Request.After;
  if (Present.Response.Status == StatusOk)
    Last = readEvents(Present.Response.Body, Request.After).Last;
  if (Last == 0 || Last == fake_upstream::Events)
    return;
  Next = Request;
  Next->Resumes = Request.Resumes.empty() ? Request.Id : Request.Resumes;
  Next->After = Last;
  ++Next->Resumption;
}

span_ns silence_environment::caller::nextPause() {
  constexpr int ShortMs = 60;
  constexpr int Kinds = 6;
  constexpr int RaceUs = 4000;
  const int ReuseMs = Environment.Routing.IdleTimeoutMs * 4 / 5;
  const int Kind = Environment.anyNumber(1, Kinds);
  // A gateway that still follows the earlier timeout closes the connection
  // while the next request is on its way.
  if (Kind == 1 && Environment.EarlierIdleMs > 0 &&
      Environment.EarlierIdleMs < ReuseMs)
    return std::chrono::milliseconds(Environment.EarlierIdleMs) -
           std::chrono::microseconds(Environment.anyNumber(0, RaceUs));
  const int MaxMs = Kind <= 2 ? ReuseMs : ShortMs;
  return std::chrono::milliseconds(Environment.anyNumber(1, MaxMs));
}

} // namespace ebonyvale

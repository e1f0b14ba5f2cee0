#include "soak/soak_environment.h"

#include "platform/routing_document.h"

#include <algorithm>
#include <csignal>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

constexpr span_ns TickInterval = 20ms;
/// A tick that is later by more than this counts as a stall of this process.
constexpr span_ns TickTolerance = 20ms;
/// Longest pause between two requests of one caller.
constexpr std::int64_t MaxCallerPauseMs = 60;
constexpr span_ns CallerDeadline = 1500ms;
/// Time after the deadline at which a caller closes a connection without a
/// response.
constexpr span_ns CallerGrace = 1000ms;
/// Time after the last fault within which each gateway must serve again. It is
/// the recovery bound of the platform's specifications.
constexpr span_ns RecoveryBound = 12s;
/// Limit of each wait for gateways or callers. A gateway that takes longer to
/// recover is a violation even if time bounds are not checked.
constexpr span_ns RecoveryTimeout = 60s;
/// Time after a caller's deadline for the response to arrive.
constexpr span_ns ResponseSlack = 500ms;
/// A gateway may close an idle connection while a request is on its way. If the
/// request was sent longer ago than this, the connection was not idle.
constexpr span_ns IdleRace = 100ms;
/// Time after which the platform's load balancer sends no new requests to a
/// stopping instance.
constexpr span_ns BalancerDelay = 2s;

} // namespace

/// Sends one request after the other.
class soak_environment::caller final : public response_observer {
public:
  explicit caller(soak_environment &Environment)
      : Environment(Environment),
        PauseTimer(Environment.Base.get(),
                   [this] { this->Environment.sendRequest(*this); }),
        GiveUpTimer(Environment.Base.get(), [this] { timeOut(); }) {}

  /// Sends \p Out, described by \p Sent, and gives up `CallerGrace` after the
  /// deadline.
  void send(const client_request &Out, const sent_request &Sent) {
    Request = Sent;
    Response = {};
    Busy = true;
    Environment.Checker.onRequestSent(Sent);
    GiveUpTimer.startOnce(CallerDeadline + CallerGrace);
    Exchange = Environment.Pool.start(Out, *this);
  }

  response_action onResponseHead(const http_head &Head, bool) override {
    Response.Status = Head.Status;
    Response.FromUpstream =
        Head.Headers.find("Ebonyvale-Server-Seal").has_value();
    const auto Seal = Head.Headers.find("Ebonyvale-Server-Seal");
    if (Seal && Head.Headers.find("Server-Limit"))
      Environment.LimitChecker.onPassedOn(
          Seal->substr(fake_upstream::Seal.size()), Request.Gateway,
          readBootClock());
    const auto Id = Head.Headers.find("Ebonyvale-Request-Id");
    if (Id && *Id != Request.Id)
      Environment.Violations.push_back(
          Request.Id + ": the response has the id " + std::string(*Id));
    return response_action::Take;
  }
  void onResponseBody(std::string_view Bytes) override {
    Response.Body += Bytes;
  }
  void onResponseEnd() override {
    Response.Complete = true;
    end();
  }
  void onResponseLost(const exchange_loss &Loss) override {
    checkLoss(Loss);
    end();
  }

  sent_request Request;
  received_response Response;
  std::shared_ptr<client_connection> Exchange;
  timer PauseTimer;
  timer GiveUpTimer;
  bool Busy = false;

private:
  void timeOut() {
    if (Exchange)
      Exchange->cancel();
    end();
  }

  void end() {
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
    std::uniform_int_distribution<std::int64_t> Any(1, MaxCallerPauseMs);
    if (Environment.TrafficEnabled)
      PauseTimer.startOnce(std::chrono::milliseconds(Any(Environment.Random)));
  }

  /// Checks that a planned stop without other faults loses no response to a
  /// request sent before the balancer stops sending requests to the gateway.
  void checkLoss(const exchange_loss &Loss) {
    const soak_gateway &Gateway = *Environment.Gateways[Request.Gateway];
    const instant Now = readBootClock();
    const bool Idle = Loss.ReusedConnection && Now - Request.At < IdleRace;
    const bool NoResponse =
        Response.Status == 0 && Loss.Stage != exchange_stage::NotSent;
    const bool ResponseDue =
        Gateway.StoppingSince != instant{} &&
        Request.At - Gateway.StoppingSince < BalancerDelay &&
        !Gateway.faultedSince(Request.At);
    if (NoResponse && ResponseDue && !Idle)
      Environment.Violations.push_back(
          fmt::format("{} to gateway {}: response lost by a planned stop",
                      Request.Id, Request.Gateway));
  }

  soak_environment &Environment;
};

soak_environment::soak_environment(const soak_options &RunOptions)
    : Options(RunOptions), Random(RunOptions.Seed), Base(event_base_new()),
      Store(Base.get()), Pool(Base.get(), {}), Checker(soakBounds()),
      TickTimer(Base.get(), [this] { tick(); }) {
  Keys.push_back("key-0");
  Keys.push_back("key-1");
  KeysCreated = Keys.size();
  for (std::size_t Index = 0; Index < Options.Size.Upstreams; ++Index) {
    auto Upstream = std::make_unique<upstream>();
    Upstream->Id = fmt::format("u-{}", Index);
    Upstream->Proxy = std::make_unique<loopback_proxy>(Base.get(), 0);
    startUpstream(*Upstream);
    publishUpstream(*Upstream, false);
    Upstreams.push_back(std::move(Upstream));
  }
  publishConfiguration();
  for (std::size_t Index = 0; Index < Options.Size.Gateways; ++Index) {
    Gateways.push_back(std::make_unique<soak_gateway>(
        Base.get(), Store, Options.Daemon, Options.Folder, Index));
    startGateway(*Gateways.back());
  }
  for (std::size_t Index = 0; Index < Options.Size.Callers; ++Index)
    Callers.push_back(std::make_unique<caller>(*this));
}

soak_environment::~soak_environment() {
  for (const auto &Caller : Callers)
    if (Caller->Exchange)
      Caller->Exchange->cancel();
}

void soak_environment::startGateway(soak_gateway &Gateway) {
  if (!Gateway.start())
    Violations.push_back(Options.Daemon + " cannot be started");
}

void soak_environment::startUpstream(upstream &Upstream) {
  if (Upstream.Process)
    OldProcesses.push_back(std::move(Upstream.Process));
  Upstream.Process = std::make_unique<fake_upstream>(
      Base.get(), fmt::format("{}-{}", Upstream.Id, Upstream.Starts++));
  std::uniform_int_distribution<std::int64_t> Delay(1, 40);
  Upstream.Process->Weights = Weights;
  Upstream.Process->Delay = std::chrono::milliseconds(Delay(Random));
  Upstream.Process->EventInterval = std::chrono::milliseconds(Delay(Random));
  Upstream.Process->OnArrival =
      [this, Process = Upstream.Process.get()](const http_request &Request) {
        const auto Gateway = Checker.gatewayOf(
            Request.Head.Headers.find("Ebonyvale-Request-Id").value_or(""));
        if (Gateway)
          LimitChecker.onArrival(Process->id(), *Gateway, readBootClock());
      };
  Upstream.Process->OnRun = [this](const http_request &Request) {
    Checker.onExecution(
        Request.Head.Headers.find("Ebonyvale-Request-Id").value_or(""),
        readBootClock());
  };
  Upstream.Proxy->setTarget(Upstream.Process->port());
}

void soak_environment::publishUpstream(upstream &Upstream, bool Draining) {
  Store.put(Upstream.Process->key(),
            Upstream.Process->entryAt(Upstream.Proxy->port(), "s", Draining));
}

void soak_environment::publishConfiguration() {
  std::string Quoted;
  for (const std::string &Key : Keys)
    Quoted += fmt::format("{}\"{}\"", Quoted.empty() ? "" : ",", Key);
  Store.put("op/config", routingDocument(++Version, Quoted, soakBounds().Rate));
}

void soak_environment::tick() {
  const instant Now = readBootClock();
  if (LastTick != instant{} && Now - LastTick > TickInterval + TickTolerance) {
    Checker.onStall(Now - LastTick, Now);
    LimitChecker.onStall(Now - LastTick, Now);
  }
  LastTick = Now;
  for (const auto &Gateway : Gateways) {
    if (Gateway->Process->running()) {
      if (!Gateway->Listening)
        Gateway->readPorts();
      continue;
    }
    // The platform restarts an ended process after a short delay.
    Gateway->Listening = false;
    if (Gateway->RestartAt == instant{}) {
      Gateway->RestartAt = Now + 200ms;
      const int ExitStatus = Gateway->Process->exitStatus();
      if (ExitStatus != 0 && ExitStatus != -SIGKILL)
        Violations.push_back(
            fmt::format("{} exited with {}", Gateway->Name, ExitStatus));
    } else if (Now >= Gateway->RestartAt) {
      Gateway->RestartAt = {};
      startGateway(*Gateway);
    }
  }
}

void soak_environment::schedule(span_ns After, std::function<void()> Action) {
  callAfter(Base.get(), After, std::move(Action));
}

client_request soak_environment::requestFor(const sent_request &Sent) const {
  client_request Request;
  Request.Server = {"127.0.0.1", Gateways[Sent.Gateway]->CallerProxy.port()};
  Request.Method = "POST";
  Request.Target = Sent.Path + Sent.Id;
  Request.Headers.add("Host", "h.example");
  Request.Headers.add("Ebonyvale-Request-Id", Sent.Id);
  Request.Headers.add(
      "Ebonyvale-Deadline-Ms",
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(CallerDeadline)
              .count()));
  Request.Headers.add("Authorization", "Bearer " + Sent.Key);
  Request.Body = "the body";
  return Request;
}

void soak_environment::sendRequest(caller &Caller) {
  if (!TrafficEnabled)
    return;
  static constexpr std::array<const char *, 5> Paths{
      "/read/", "/order/", "/stream-on/", "/stream-once/", "/open/"};
  std::uniform_int_distribution<std::size_t> Any(0, 1 << 20);
  const std::size_t GatewayIndex = Any(Random) % Gateways.size();
  // No guarantee covers a request to a gateway that is not running.
  if (!Gateways[GatewayIndex]->Listening)
    return Caller.PauseTimer.startOnce(TickInterval);
  sent_request Sent;
  Sent.Id = fmt::format("r-{}", ++LastId);
  Sent.Path = Paths[Any(Random) % Paths.size()];
  // Some requests use keys that have been withdrawn.
  Sent.Key = fmt::format("key-{}", Any(Random) % KeysCreated);
  Sent.Gateway = GatewayIndex;
  Sent.At = readBootClock();
  if (std::ranges::find(Keys, Sent.Key) == Keys.end() || Any(Random) % 2 == 0)
    Sent.Key = Any(Random) % 4 == 0 ? Sent.Key : Keys.front();
  Caller.send(requestFor(Sent), Sent);
}

bool soak_environment::waitFor(const std::function<bool()> &Done,
                               span_ns Timeout) {
  const instant Until = readBootClock() + Timeout;
  while (!Done() && readBootClock() < Until)
    event_base_loop(Base.get(), EVLOOP_ONCE);
  return Done();
}

/// Ends all faults and checks that each gateway serves again.
void soak_environment::recover() {
  Recovering = true;
  Store.setFault(store_fault::None);
  for (const auto &Upstream : Upstreams) {
    Upstream->Proxy->setFault(proxy_fault::None);
    Upstream->Process->Behavior = upstream_behavior::Respond;
    nameLimit(*Upstream->Process, std::nullopt);
    Upstream->Draining = false;
    publishUpstream(*Upstream, false);
  }
  for (const auto &Gateway : Gateways) {
    Gateway->CallerProxy.setFault(proxy_fault::None);
    Gateway->StoreProxy.setFault(proxy_fault::None);
    Gateway->Process->signal(SIGCONT);
  }
  TrafficEnabled = false;
  waitFor(
      [this] {
        return std::ranges::none_of(
            Callers, [](const auto &Caller) { return Caller->Busy; });
      },
      RecoveryTimeout);
  const instant Since = readBootClock();
  for (const auto &Gateway : Gateways) {
    bool Served = false;
    while (!Served && readBootClock() - Since < RecoveryTimeout) {
      caller &Caller = *Callers.front();
      sent_request Sent{fmt::format("r-{}", ++LastId), "/read/", Keys.front(),
                        Gateway->Index, readBootClock()};
      client_request Request = requestFor(Sent);
      Request.NewConnection = true;
      Caller.send(Request, Sent);
      waitFor([&Caller] { return !Caller.Busy; }, RecoveryTimeout);
      Served = Caller.Response.Status == 200 && Caller.Response.Complete;
      if (!Served)
        waitFor([] { return false; }, 50ms);
    }
    if (!Served)
      Violations.push_back(Gateway->Name + " did not recover");
  }
  if (Options.CheckTimes && readBootClock() - Since > RecoveryBound)
    Violations.push_back("not all gateways recovered in time");
}

soak_result soak_environment::run() {
  TickTimer.startPeriodic(TickInterval);
  waitFor(
      [this] {
        return std::ranges::all_of(
            Gateways, [](const auto &Gateway) { return Gateway->Listening; });
      },
      RecoveryTimeout);
  waitFor([] { return false; }, 500ms);
  for (const soak_event &Event : makeSoakPlan(Options.Seed, Options.Size))
    schedule(Event.At, [this, Event] { applyEvent(Event); });
  TrafficEnabled = true;
  for (const auto &Caller : Callers)
    sendRequest(*Caller);
  waitFor([] { return false; }, Options.Size.Length);
  recover();
  Checker.finish();
  soak_result Result;
  Result.Violations = Checker.violations();
  Result.Violations.insert(Result.Violations.end(), Violations.begin(),
                           Violations.end());
  std::ranges::move(LimitChecker.violations(),
                    std::back_inserter(Result.Violations));
  Result.RequestCount = Checker.requestCount();
  Result.StatusCounts = Checker.statusCounts();
  return Result;
}

} // namespace ebonyvale

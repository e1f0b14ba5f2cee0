#include "soak/soak_world.h"

#include "platform/routing_document.h"

#include <algorithm>
#include <csignal>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

constexpr span_ns TickInterval = 20ms;
/// A tick that is later than this has kept the judge from seeing.
constexpr span_ns TickTolerance = 20ms;
/// Between two requests of one caller.
constexpr std::int64_t MaxCallerPauseMs = 60;
constexpr span_ns CallerDeadline = 1500ms;
/// Above the deadline, until a caller closes a connection that stays silent.
constexpr span_ns CallerPatience = 1000ms;
/// After all troubles: serving again within it (recovery of the platform's
/// sheets), and without a bound on time at the latest after the second one.
constexpr span_ns RecoveryBound = 12s;
constexpr span_ns RecoveryPatience = 60s;
/// Above a caller's deadline, for its answer to arrive.
constexpr span_ns AnswerSlack = 500ms;
/// A connection that the gateway ends while it is idle may cross a request; one
/// on which the request has been for longer was not idle.
constexpr span_ns IdleRace = 100ms;
/// After it the platform's balancer sends nothing new to a stopping instance.
constexpr span_ns BalancerTime = 2s;

} // namespace

struct soak_world::upstream {
  std::string Id;
  std::unique_ptr<fake_upstream> Process;
  std::unique_ptr<loopback_proxy> Proxy;
  unsigned Runs = 0; ///< of the process, for its names
  bool Leaving = false;
};

/// Asks one request after the other.
class soak_world::caller final : public response_observer {
public:
  explicit caller(soak_world &World)
      : World(World),
        Pause(World.Base.get(), [this] { this->World.ask(*this); }),
        Patience(World.Base.get(), [this] { leave(); }) {}

  /// Sends \p Out for \p Asked; gives up some time after the deadline.
  void send(const client_request &Out, const asked_request &Asked) {
    Request = Asked;
    Answer = {};
    Busy = true;
    World.Judge.onAsked(Asked);
    Patience.startOnce(CallerDeadline + CallerPatience);
    Exchange = World.Links.start(Out, *this);
  }

  response_action onResponseHead(const http_head &Head, bool) override {
    Answer.Status = Head.Status;
    Answer.Sealed = Head.Headers.find("Ebonyvale-Server-Seal").has_value();
    const auto Id = Head.Headers.find("Ebonyvale-Request-Id");
    if (Id && *Id != Request.Id)
      World.Broken.push_back(Request.Id + ": the answer names " +
                             std::string(*Id));
    return response_action::Take;
  }
  void onResponseBody(std::string_view Bytes) override { Answer.Body += Bytes; }
  void onResponseEnd() override {
    Answer.Whole = true;
    end();
  }
  void onResponseLost(const exchange_loss &Loss) override {
    judgeCut(Loss);
    end();
  }

  asked_request Request;
  got_answer Answer;
  std::shared_ptr<client_connection> Exchange;
  timer Pause;
  timer Patience;
  bool Busy = false;

private:
  void leave() {
    if (Exchange)
      Exchange->cancel();
    end();
  }

  void end() {
    Exchange.reset();
    Patience.stop();
    Busy = false;
    Answer.SaysNotRun = Answer.Body.find(R"("ran":"no")") != std::string::npos;
    const instant Now = readBootClock();
    World.Judge.onAnswer(Request.Id, Answer, Now);
    const soak_gateway &Gateway = *World.Gateways[Request.Gateway];
    const bool Harmed = Gateway.harmedSince(Request.At);
    if (World.Options.JudgeTimes && !Harmed &&
        Now - Request.At > CallerDeadline + AnswerSlack)
      World.Broken.push_back(fmt::format(
          "{} to gateway {}: ended with {} after {:.0f} ms", Request.Id,
          Request.Gateway, Answer.Status, toMs(Now - Request.At)));
    std::uniform_int_distribution<std::int64_t> Any(1, MaxCallerPauseMs);
    if (World.Asking)
      Pause.startOnce(std::chrono::milliseconds(Any(World.Random)));
  }

  /// A planned stop alone must not cut what a gateway has begun.
  void judgeCut(const exchange_loss &Loss) {
    const soak_gateway &Gateway = *World.Gateways[Request.Gateway];
    const instant Now = readBootClock();
    const bool Idle = Loss.ReusedConnection && Now - Request.At < IdleRace;
    const bool Unanswered =
        Answer.Status == 0 && Loss.Stage != exchange_stage::NotSent;
    const bool Owed = Gateway.StoppingSince != instant{} &&
                      Request.At - Gateway.StoppingSince < BalancerTime &&
                      !Gateway.harmedSince(Request.At);
    if (Unanswered && Owed && !Idle)
      World.Broken.push_back(
          fmt::format("{} to gateway {}: cut by a planned stop", Request.Id,
                      Request.Gateway));
  }

  soak_world &World;
};

soak_world::soak_world(const soak_options &Given)
    : Options(Given), Random(Given.Seed), Base(event_base_new()),
      Store(Base.get()), Links(Base.get(), {}), Judge(soakBounds()),
      TickTimer(Base.get(), [this] { tick(); }) {
  Keys.push_back("key-0");
  Keys.push_back("key-1");
  KeysMade = Keys.size();
  for (std::size_t Index = 0; Index < Options.Size.Upstreams; ++Index) {
    auto Upstream = std::make_unique<upstream>();
    Upstream->Id = fmt::format("u-{}", Index);
    Upstream->Proxy = std::make_unique<loopback_proxy>(Base.get(), 0);
    startUpstream(*Upstream);
    list(*Upstream, false);
    Upstreams.push_back(std::move(Upstream));
  }
  configure();
  for (std::size_t Index = 0; Index < Options.Size.Gateways; ++Index) {
    Gateways.push_back(std::make_unique<soak_gateway>(
        Base.get(), Store, Options.Daemon, Options.Folder, Index));
    startGateway(*Gateways.back());
  }
  for (std::size_t Index = 0; Index < Options.Size.Callers; ++Index)
    Callers.push_back(std::make_unique<caller>(*this));
}

soak_world::~soak_world() {
  for (const auto &Caller : Callers)
    if (Caller->Exchange)
      Caller->Exchange->cancel();
}

void soak_world::startGateway(soak_gateway &Gateway) {
  if (!Gateway.start())
    Broken.push_back(Options.Daemon + " cannot be started");
}

void soak_world::startUpstream(upstream &Upstream) {
  if (Upstream.Process)
    Replaced.push_back(std::move(Upstream.Process));
  Upstream.Process = std::make_unique<fake_upstream>(
      Base.get(), fmt::format("{}-{}", Upstream.Id, Upstream.Runs++));
  std::uniform_int_distribution<std::int64_t> Delay(1, 40);
  Upstream.Process->Weights = Weights;
  Upstream.Process->Delay = std::chrono::milliseconds(Delay(Random));
  Upstream.Process->EventInterval = std::chrono::milliseconds(Delay(Random));
  Upstream.Process->OnRun = [this](const http_request &Request) {
    const instant Now = readBootClock();
    noticeHoldUp(Now);
    Judge.onRun(Request.Head.Headers.find("Ebonyvale-Request-Id").value_or(""),
                Now);
  };
  Upstream.Proxy->setTarget(Upstream.Process->port());
}

void soak_world::list(upstream &Upstream, bool Draining) {
  Store.put(Upstream.Process->key(),
            Upstream.Process->entryAt(Upstream.Proxy->port(), "s", Draining));
}

void soak_world::configure() {
  std::string Quoted;
  for (const std::string &Key : Keys)
    Quoted += fmt::format("{}\"{}\"", Quoted.empty() ? "" : ",", Key);
  Store.put("op/config", routingDocument(++Version, Quoted, soakBounds().Rate));
}

/// After a stall the loop serves what is readable before the tick.
void soak_world::noticeHoldUp(instant Now) {
  if (LastTick != instant{} && Now - LastTick > TickInterval + TickTolerance)
    Judge.onHeldUp(Now - LastTick, Now);
}

void soak_world::tick() {
  const instant Now = readBootClock();
  noticeHoldUp(Now);
  LastTick = Now;
  for (const auto &Gateway : Gateways) {
    if (Gateway->Process->running()) {
      if (!Gateway->Listening)
        Gateway->takePorts();
      continue;
    }
    // The platform starts a process again after a short while.
    Gateway->Listening = false;
    if (Gateway->RestartAt == instant{}) {
      Gateway->RestartAt = Now + 200ms;
      const int Ended = Gateway->Process->ended();
      if (Ended != 0 && Ended != -SIGKILL)
        Broken.push_back(fmt::format("{} ended with {}", Gateway->Name, Ended));
    } else if (Now >= Gateway->RestartAt) {
      Gateway->RestartAt = {};
      startGateway(*Gateway);
    }
  }
}

void soak_world::later(span_ns After, std::function<void()> Action) {
  callAfter(Base.get(), After, std::move(Action));
}

void soak_world::harm(loopback_proxy &Proxy, const soak_event &Event) {
  if (Recovering)
    return;
  Proxy.setHarm(static_cast<proxy_harm>(1 + Event.How % (ProxyHarms - 1)));
  later(Event.For, [&Proxy] { Proxy.setHarm(proxy_harm::None); });
}

void soak_world::apply(const soak_event &Event) {
  if (Recovering)
    return;
  soak_gateway &Gateway = *Gateways[Event.Which % Gateways.size()];
  upstream &Upstream = *Upstreams[Event.Which % Upstreams.size()];
  switch (Event.Kind) {
  case soak_kind::CallerLink:
  case soak_kind::StoreLink:
  case soak_kind::Store:
  case soak_kind::Terminate:
  case soak_kind::Kill:
  case soak_kind::Pause:
    return applyToGateway(Event, Gateway);
  case soak_kind::UpstreamLink:
  case soak_kind::Upstream:
  case soak_kind::Replaced:
  case soak_kind::Draining:
    return applyToUpstream(Event, Upstream);
  case soak_kind::History:
    return Store.forgetHistory();
  case soak_kind::KillAll:
    for (const auto &Each : Gateways)
      Each->kill();
    return;
  case soak_kind::Withdraw:
    if (Keys.size() > 1) {
      const auto Gone =
          Keys.begin() + 1 +
          static_cast<std::ptrdiff_t>(Event.Which % (Keys.size() - 1));
      const std::string Key = *Gone;
      Keys.erase(Gone);
      configure();
      Judge.onWithdrawn(Key, readBootClock());
    }
    return;
  case soak_kind::NewVersion:
    Keys.push_back(fmt::format("key-{}", KeysMade++));
    configure();
    return Judge.onAdded(Keys.back(), readBootClock());
  case soak_kind::NewWeights:
    Store.put("op/version/m",
              fmt::format(R"({{"model":"m","version":{}}})", ++Weights));
    return;
  }
}

void soak_world::applyToGateway(const soak_event &Event,
                                soak_gateway &Gateway) {
  if (Event.Kind == soak_kind::Terminate) {
    if (Gateway.StoppingSince == instant{})
      Gateway.StoppingSince = readBootClock();
    return Gateway.Process->signal(SIGTERM);
  }
  if (Event.Kind == soak_kind::StoreLink)
    return harm(Gateway.StoreProxy, Event);
  if (Event.Kind == soak_kind::Store) {
    constexpr int StoreFaults = 5;
    const auto Fault = static_cast<store_fault>(1 + Event.How % StoreFaults);
    // One in three troubles of the store is everybody's.
    const std::string Name = Event.How % 3 == 0 ? "" : Gateway.Name;
    Store.setFault(Fault, Name);
    return later(Event.For,
                 [this, Name] { Store.setFault(store_fault::None, Name); });
  }
  Gateway.HarmedAt = readBootClock();
  if (Event.Kind == soak_kind::Kill)
    return Gateway.kill();
  ++Gateway.Harms;
  if (Event.Kind == soak_kind::CallerLink) {
    harm(Gateway.CallerProxy, Event);
    // Callers do not wait on connections that have gone silent for good.
    Links.closeIdleConnections({"127.0.0.1", Gateway.CallerProxy.port()});
  } else {
    ++Gateway.Pauses;
    Gateway.Process->signal(SIGSTOP);
  }
  later(Event.For, [&Gateway, IsPause = Event.Kind == soak_kind::Pause] {
    --Gateway.Harms;
    Gateway.HarmedAt = readBootClock();
    if (IsPause && --Gateway.Pauses == 0)
      Gateway.Process->signal(SIGCONT);
  });
}

void soak_world::applyToUpstream(const soak_event &Event, upstream &Upstream) {
  // Whatever an upstream does may cost a caller its answer, but not the
  // connection to a gateway.
  switch (Event.Kind) {
  case soak_kind::UpstreamLink:
    Judge.onUpstreamLinkHarmed(readBootClock() + Event.For);
    return harm(*Upstream.Proxy, Event);
  case soak_kind::Upstream: {
    // Up to `Hold`: another process at the address is a kind of its own, and
    // answers that are too large belong to the tests of the gateway.
    constexpr int Acts = static_cast<int>(upstream_behavior::Hold) + 1;
    Upstream.Process->Behavior =
        static_cast<upstream_behavior>(1 + Event.How % (Acts - 1));
    fake_upstream *Process = Upstream.Process.get();
    return later(Event.For,
                 [Process] { Process->Behavior = upstream_behavior::Answer; });
  }
  case soak_kind::Replaced: {
    const std::string Before = Upstream.Process->key();
    startUpstream(Upstream);
    // Those who read the old entry find another process at its address.
    return later(Event.For / 4, [this, &Upstream, Before] {
      Store.erase(Before);
      list(Upstream, Upstream.Leaving);
    });
  }
  default:
    Upstream.Leaving = true;
    list(Upstream, true);
    return later(Event.For, [this, &Upstream] {
      Upstream.Leaving = false;
      list(Upstream, false);
    });
  }
}

client_request soak_world::requestFor(const asked_request &Asked) const {
  client_request Request;
  Request.Server = {"127.0.0.1", Gateways[Asked.Gateway]->CallerProxy.port()};
  Request.Method = "POST";
  Request.Target = Asked.Path + Asked.Id;
  Request.Headers.add("Host", "h.example");
  Request.Headers.add("Ebonyvale-Request-Id", Asked.Id);
  Request.Headers.add(
      "Ebonyvale-Deadline-Ms",
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(CallerDeadline)
              .count()));
  Request.Headers.add("Authorization", "Bearer " + Asked.Key);
  Request.Body = "the body";
  return Request;
}

void soak_world::ask(caller &Caller) {
  if (!Asking)
    return;
  static constexpr std::array<const char *, 5> Paths{
      "/read/", "/order/", "/stream-on/", "/stream-once/", "/open/"};
  std::uniform_int_distribution<std::size_t> Any(0, 1 << 20);
  const std::size_t Which = Any(Random) % Gateways.size();
  // Nothing is promised to whoever asks a process that is not there.
  if (!Gateways[Which]->Listening)
    return Caller.Pause.startOnce(TickInterval);
  asked_request Asked;
  Asked.Id = fmt::format("r-{}", ++LastId);
  Asked.Path = Paths[Any(Random) % Paths.size()];
  // Callers go on using keys that were withdrawn.
  Asked.Key = fmt::format("key-{}", Any(Random) % KeysMade);
  Asked.Gateway = Which;
  Asked.At = readBootClock();
  if (std::ranges::find(Keys, Asked.Key) == Keys.end() || Any(Random) % 2 == 0)
    Asked.Key = Any(Random) % 4 == 0 ? Asked.Key : Keys.front();
  Caller.send(requestFor(Asked), Asked);
}

bool soak_world::waitFor(const std::function<bool()> &Done, span_ns Most) {
  const instant Until = readBootClock() + Most;
  while (!Done() && readBootClock() < Until)
    event_base_loop(Base.get(), EVLOOP_ONCE);
  return Done();
}

/// All troubles are over: each gateway serves again.
void soak_world::recover() {
  Recovering = true;
  Store.setFault(store_fault::None);
  for (const auto &Upstream : Upstreams) {
    Upstream->Proxy->setHarm(proxy_harm::None);
    Upstream->Process->Behavior = upstream_behavior::Answer;
    Upstream->Leaving = false;
    list(*Upstream, false);
  }
  for (const auto &Gateway : Gateways) {
    Gateway->CallerProxy.setHarm(proxy_harm::None);
    Gateway->StoreProxy.setHarm(proxy_harm::None);
    Gateway->Process->signal(SIGCONT);
  }
  Asking = false;
  waitFor(
      [this] {
        return std::ranges::none_of(
            Callers, [](const auto &Caller) { return Caller->Busy; });
      },
      RecoveryPatience);
  const instant Since = readBootClock();
  for (const auto &Gateway : Gateways) {
    bool Served = false;
    while (!Served && readBootClock() - Since < RecoveryPatience) {
      caller &Caller = *Callers.front();
      asked_request Asked{fmt::format("r-{}", ++LastId), "/read/", Keys.front(),
                          Gateway->Index, readBootClock()};
      client_request Request = requestFor(Asked);
      Request.NewConnection = true;
      Caller.send(Request, Asked);
      waitFor([&Caller] { return !Caller.Busy; }, RecoveryPatience);
      Served = Caller.Answer.Status == 200 && Caller.Answer.Whole;
      if (!Served)
        waitFor([] { return false; }, 50ms);
    }
    if (!Served)
      Broken.push_back(Gateway->Name + " never served again");
  }
  if (Options.JudgeTimes && readBootClock() - Since > RecoveryBound)
    Broken.push_back("not all served again in time");
}

soak_result soak_world::run() {
  TickTimer.startPeriodic(TickInterval);
  waitFor(
      [this] {
        return std::ranges::all_of(
            Gateways, [](const auto &Gateway) { return Gateway->Listening; });
      },
      RecoveryPatience);
  waitFor([] { return false; }, 500ms);
  for (const soak_event &Event : makeSoakPlan(Options.Seed, Options.Size))
    later(Event.At, [this, Event] { apply(Event); });
  Asking = true;
  for (const auto &Caller : Callers)
    ask(*Caller);
  waitFor([] { return false; }, Options.Size.Length);
  recover();
  Judge.finish();
  soak_result Result;
  Result.Broken = Judge.broken();
  Result.Broken.insert(Result.Broken.end(), Broken.begin(), Broken.end());
  Result.Asked = Judge.asked();
  Result.Answers = Judge.answers();
  return Result;
}

} // namespace ebonyvale

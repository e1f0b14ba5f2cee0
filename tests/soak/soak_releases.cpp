// The processes of the upstreams, and releases of their software.
#include "soak/soak_environment.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <string>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using namespace std::chrono_literals;

/// Time from an upstream's leaving to its end.
constexpr span_ns LeavingTime = 1s;
/// Software versions that releases choose from.
constexpr unsigned Versions = 3;

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

void soak_environment::startUpstream(upstream &Upstream) {
  startUpstreamAs(Upstream,
                  fmt::format("{}-{}", Upstream.Id, Upstream.Starts++));
}

void soak_environment::startUpstreamAs(upstream &Upstream,
                                       const std::string &Id) {
  if (Upstream.Process)
    OldProcesses.push_back(std::move(Upstream.Process));
  Upstream.Process = std::make_unique<fake_upstream>(Base.get(), Id);
  std::uniform_int_distribution<std::int64_t> Delay(1, 40);
  Upstream.Process->Weights = Weights;
  Upstream.Process->Software = Upstream.Software;
  Upstream.Process->EventsNameSoftware = true;
  Upstream.Process->Born = unixMs();
  Upstream.Process->Delay = std::chrono::milliseconds(Delay(Random));
  Upstream.Process->EventInterval = std::chrono::milliseconds(Delay(Random));
  LeavingChecker.onStart(Id);
  PauseChecker.onStart(Id);
  observe(*Upstream.Process);
  Upstream.Proxy->setTarget(Upstream.Process->port());
  Upstream.Published = false;
}

void soak_environment::observe(fake_upstream &Process) {
  const auto IdOf = [](const http_request &Request) {
    return std::string(
        Request.Head.Headers.find("Ebonyvale-Request-Id").value_or(""));
  };
  Process.OnArrival = [this, &Process, IdOf](const http_request &Request) {
    if (const sent_request *Sent = Checker.request(IdOf(Request)))
      LimitChecker.onArrival(Process.id(), Sent->Gateway, readBootClock());
  };
  Process.OnAccepted = [this, &Process, IdOf](const http_request &Request) {
    const sent_request *Sent = Checker.request(IdOf(Request));
    const instant Now = readBootClock();
    if (Sent == nullptr)
      return;
    PauseChecker.onArrival(Process.id(), Sent->Gateway, Now);
    LeavingChecker.onArrival(Process.id(), Sent->Id, Sent->Gateway, Sent->At,
                             Now);
  };
  Process.OnLeavingResponse = [this, &Process,
                               IdOf](const http_request &Request) {
    LeavingChecker.onLeavingResponse(Process.id(), IdOf(Request));
  };
  Process.OnPause = [this, &Process, IdOf](const http_request &Request) {
    if (const sent_request *Sent = Checker.request(IdOf(Request)))
      PauseChecker.onRefusal(Process.id(), Sent->Gateway, *Process.Pause,
                             readBootClock());
  };
  Process.OnRun = [this, &Process, IdOf](const http_request &Request) {
    Checker.onExecution(IdOf(Request), readBootClock());
    if (const sent_request *Sent = Checker.request(IdOf(Request)))
      onOrderedRun(Process.id(), Sent->Gateway, readBootClock());
  };
}

void soak_environment::publishUpstream(upstream &Upstream, bool Draining) {
  Store.put(Upstream.Process->key(),
            Upstream.Process->entryAt(Upstream.Proxy->port(), "s", Draining));
  Upstream.Published = true;
}

void soak_environment::releaseSoftware(const soak_event &Event) {
  const auto Variant = static_cast<unsigned>(Event.Variant);
  const std::string Software = fmt::format("v{}", 1 + Variant / 3 % Versions);
  // Some releases end before they have reached all upstreams.
  const std::size_t Count = 1 + Variant / 9 % Upstreams.size();
  const span_ns Step = Event.Duration / static_cast<std::int64_t>(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    upstream &Upstream = *Upstreams[(Event.Target + Index) % Upstreams.size()];
    const span_ns At = Step * static_cast<std::int64_t>(Index);
    schedule(At, [this, &Upstream, Software, Style = Variant % 3, Step] {
      if (Recovering)
        return;
      Upstream.Software = Software;
      if (Options.SlowRestarts)
        return restartSameId(Upstream);
      if (Style == 0)
        return releaseInPlace(Upstream, Step / 4);
      return Style == 1 ? releaseBeside(Upstream) : restartSameId(Upstream);
    });
  }
}

/// The process ends, and one with another id starts at its address. The store
/// is updated \p After.
void soak_environment::releaseInPlace(upstream &Upstream, span_ns After) {
  const std::string OldKey = Upstream.Process->key();
  startUpstream(Upstream);
  Upstream.Proxy->resetConnections();
  schedule(After, [this, &Upstream, OldKey] {
    if (OldKey != Upstream.Process->key())
      Store.erase(OldKey);
    publishUpstream(Upstream, Upstream.Draining);
  });
}

/// A process starts at another address; the one before drains and ends.
void soak_environment::releaseBeside(upstream &Upstream) {
  fake_upstream *Old = Upstream.Process.get();
  publishUpstream(Upstream, /*Draining=*/true);
  OldProxies.push_back(std::exchange(
      Upstream.Proxy, std::make_unique<loopback_proxy>(Base.get(), 0)));
  startUpstream(Upstream);
  Upstream.Draining = false;
  publishUpstream(Upstream, false);
  schedule(LeavingTime, [this, Old, Proxy = OldProxies.back().get()] {
    Store.erase(Old->key());
    Proxy->setTarget(0);
    Proxy->resetConnections();
  });
}

/// The process ends and starts again under its id, at its address.
void soak_environment::restartSameId(upstream &Upstream) {
  fake_upstream &Old = *Upstream.Process;
  if (Old.Limit)
    nameLimit(Old, std::nullopt);
  if (Options.SlowRestarts && !Recovering)
    return restartSlowly(Upstream);
  startUpstreamAs(Upstream, Old.id());
  Upstream.Proxy->resetConnections();
  publishUpstream(Upstream, Upstream.Draining);
}

/// The process ends. Later another one starts under its id, at its address, and
/// writes its entry some time after that.
void soak_environment::restartSlowly(upstream &Upstream) {
  std::uniform_int_distribution<std::int64_t> AwayMs(0, 3000);
  std::uniform_int_distribution<std::int64_t> UnlistedMs(0, 1200);
  const auto Away = std::chrono::milliseconds(AwayMs(Random));
  const auto Unlisted = std::chrono::milliseconds(UnlistedMs(Random));
  const auto Start = [this, &Upstream, Old = Upstream.Process.get(), Unlisted] {
    if (Upstream.Process.get() != Old)
      return;
    Upstream.Proxy->setFault(proxy_fault::None);
    startUpstreamAs(Upstream, Old->id());
    schedule(Unlisted, [this, &Upstream, Process = Upstream.Process.get()] {
      if (Upstream.Process.get() == Process)
        publishUpstream(Upstream, Upstream.Draining);
    });
  };
  Upstream.Published = false;
  Upstream.Proxy->setFault(proxy_fault::Unreachable);
  schedule(Away, Start);
}

/// The process says in its responses that it leaves, and ends after the
/// duration of \p Event; the store does not change before.
void soak_environment::leave(upstream &Upstream, const soak_event &Event) {
  const auto Others = std::ranges::count_if(Upstreams, [&](const auto &Each) {
    return Each.get() != &Upstream && !Each->Process->Leaving;
  });
  fake_upstream *Process = Upstream.Process.get();
  if (Others == 0 || Process->Leaving)
    return;
  Process->Leaving = true;
  schedule(Event.Duration, [this, &Upstream, Process, Event] {
    if (Recovering || Upstream.Process.get() != Process)
      return;
    if (Event.Variant % 2 == 0)
      return releaseInPlace(Upstream, span_ns(0));
    restartSameId(Upstream);
  });
}

/// The process, or with some variants each, refuses all requests and asks for a
/// pause. With some variants a new process ends the pause early.
void soak_environment::pauseUpstreams(upstream &Upstream,
                                      const soak_event &Event) {
  constexpr std::array<double, 3> PauseSeconds{0.9, 1.8, 3.5};
  const auto Variant = static_cast<std::size_t>(Event.Variant);
  const bool RestartsEarly = Variant / 3 % 3 == 0;
  const bool All = Variant / 9 % 4 == 0;
  for (const auto &Each : Upstreams) {
    if (!All && Each.get() != &Upstream)
      continue;
    fake_upstream *Process = Each->Process.get();
    Process->Pause = fromSeconds(PauseSeconds[Variant % PauseSeconds.size()]);
    schedule(Event.Duration, [this, Process, RestartsEarly, Each = Each.get()] {
      if (RestartsEarly && !Recovering && Each->Process.get() == Process)
        return restartSameId(*Each);
      Process->Pause.reset();
    });
  }
}

std::set<std::string> soak_environment::servedSoftware() const {
  std::map<std::string, int> Serving;
  std::set<std::string> Served;
  for (const auto &Each : Upstreams)
    if (Each->Published && !Each->Draining &&
        Each->Process->Behavior == upstream_behavior::Respond &&
        !Each->Process->Leaving && !Each->Process->Pause &&
        Each->Proxy->fault() == proxy_fault::None &&
        ++Serving[Each->Process->Software] == 2)
      Served.insert(Each->Process->Software);
  return Served;
}

/// Reports which gateways have a fault and which software is served. With
/// \p StoreFault all gateways have one.
void soak_environment::reportState(instant Now, bool StoreFault) {
  std::set<std::size_t> Faulted;
  for (const auto &Gateway : Gateways)
    if (StoreFault || !Gateway->Listening || Gateway->ActiveFaults > 0 ||
        Gateway->StoppingSince != instant{} ||
        Gateway->StoreProxy.fault() != proxy_fault::None ||
        Gateway->CallerProxy.fault() != proxy_fault::None ||
        Store.faultFor(Gateway->Name) != store_fault::None)
      Faulted.insert(Gateway->Index);
  VersionChecker.onState(std::move(Faulted), servedSoftware(), Now);
}

} // namespace ebonyvale

// How each event of a plan is applied.
#include "soak/soak_environment.h"

#include <array>
#include <csignal>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

using namespace std::chrono_literals;

void soak_environment::restoreStore(span_ns After) {
  constexpr span_ns OutageTime = 400ms;
  if (std::exchange(CopyPending, true))
    return;
  Store.saveCopy();
  schedule(After, [this] { Store.setFault(store_fault::Down); });
  schedule(After + OutageTime, [this] {
    Store.restoreCopy();
    Store.setFault(store_fault::None);
    CopyPending = false;
  });
}

void soak_environment::nameLimit(fake_upstream &Process,
                                 std::optional<double> PerSecond) {
  Process.Limit = PerSecond;
  LimitChecker.onLimit(Process.id(), PerSecond, readBootClock());
}

void soak_environment::injectFault(loopback_proxy &Proxy,
                                   const soak_event &Event) {
  if (Recovering)
    return;
  Proxy.setFault(
      static_cast<proxy_fault>(1 + Event.Variant % (ProxyFaults - 1)));
  schedule(Event.Duration, [&Proxy] { Proxy.setFault(proxy_fault::None); });
}

void soak_environment::applyEvent(const soak_event &Event) {
  if (Recovering)
    return;
  soak_gateway &Gateway = *Gateways[Event.Target % Gateways.size()];
  upstream &Upstream = *Upstreams[Event.Target % Upstreams.size()];
  switch (Event.Kind) {
  case soak_event_kind::CallerLink:
  case soak_event_kind::StoreLink:
  case soak_event_kind::Store:
  case soak_event_kind::Terminate:
  case soak_event_kind::Kill:
  case soak_event_kind::Pause:
  case soak_event_kind::OtherBuild:
    return applyToGateway(Event, Gateway);
  case soak_event_kind::UpstreamLink:
  case soak_event_kind::Upstream:
  case soak_event_kind::Replacement:
  case soak_event_kind::Draining:
  case soak_event_kind::NamedLimit:
  case soak_event_kind::Leaving:
  case soak_event_kind::RequestedPause:
    return applyToUpstream(Event, Upstream);
  case soak_event_kind::Restore:
    return restoreStore(Event.Duration);
  case soak_event_kind::Release:
    return releaseSoftware(Event);
  case soak_event_kind::Compaction:
    reportState(readBootClock(), /*StoreFault=*/true);
    return Store.compactHistory();
  case soak_event_kind::KillAll:
    for (const auto &Each : Gateways) {
      LimitChecker.onGatewayFault(Each->Index, readBootClock());
      Each->kill();
    }
    return;
  case soak_event_kind::KeyWithdrawal:
    if (Keys.size() > 1) {
      const auto Withdrawn =
          Keys.begin() + 1 +
          static_cast<std::ptrdiff_t>(Event.Target % (Keys.size() - 1));
      const std::string Key = *Withdrawn;
      Keys.erase(Withdrawn);
      publishConfiguration();
      Checker.onKeyWithdrawn(Key, readBootClock());
    }
    return;
  case soak_event_kind::NewVersion:
    Keys.push_back(fmt::format("key-{}", KeysCreated++));
    publishConfiguration();
    return Checker.onKeyAdded(Keys.back(), readBootClock());
  case soak_event_kind::NewWeights:
    Store.put("op/version/m",
              fmt::format(R"({{"model":"m","version":{}}})", ++Weights));
    return;
  }
}

void soak_environment::stopGateway(soak_gateway &Gateway) {
  if (Gateway.StoppingSince == instant{})
    Gateway.StoppingSince = readBootClock();
  Gateway.Process->signal(SIGTERM);
}

void soak_environment::applyToGateway(const soak_event &Event,
                                      soak_gateway &Gateway) {
  if (Event.Kind == soak_event_kind::Terminate ||
      Event.Kind == soak_event_kind::Kill ||
      Event.Kind == soak_event_kind::Pause ||
      Event.Kind == soak_event_kind::OtherBuild)
    LimitChecker.onGatewayFault(Gateway.Index,
                                readBootClock() + Event.Duration);
  if (Event.Kind == soak_event_kind::OtherBuild) {
    Gateway.RunsEarlier = !Gateway.RunsEarlier;
    ++(Gateway.RunsEarlier ? Rollbacks : Upgrades);
    return stopGateway(Gateway);
  }
  if (Event.Kind == soak_event_kind::Terminate)
    return stopGateway(Gateway);
  if (Event.Kind == soak_event_kind::StoreLink)
    return injectFault(Gateway.StoreProxy, Event);
  if (Event.Kind == soak_event_kind::Store) {
    constexpr int StoreFaults = 5;
    const auto Fault =
        static_cast<store_fault>(1 + Event.Variant % StoreFaults);
    // One in three store faults applies to all gateways.
    const std::string Name = Event.Variant % 3 == 0 ? "" : Gateway.Name;
    Store.setFault(Fault, Name);
    return schedule(Event.Duration,
                    [this, Name] { Store.setFault(store_fault::None, Name); });
  }
  Gateway.LastFaultAt = readBootClock();
  if (Event.Kind == soak_event_kind::Kill)
    return Gateway.kill();
  ++Gateway.ActiveFaults;
  if (Event.Kind == soak_event_kind::CallerLink) {
    injectFault(Gateway.CallerProxy, Event);
    // Closes idle connections, which the fault may have blackholed.
    Pool.closeIdleConnections({"127.0.0.1", Gateway.CallerProxy.port()});
  } else {
    ++Gateway.ActivePauses;
    LeavingChecker.onGatewayFault(Gateway.Index,
                                  readBootClock() + Event.Duration);
    PauseChecker.onGatewayFault(Gateway.Index,
                                readBootClock() + Event.Duration);
    Gateway.Process->signal(SIGSTOP);
  }
  schedule(Event.Duration,
           [&Gateway, IsPause = Event.Kind == soak_event_kind::Pause] {
             --Gateway.ActiveFaults;
             Gateway.LastFaultAt = readBootClock();
             if (IsPause && --Gateway.ActivePauses == 0)
               Gateway.Process->signal(SIGCONT);
           });
}

void soak_environment::applyToUpstream(const soak_event &Event,
                                       upstream &Upstream) {
  // A fault of an upstream may cost a caller its response, but must not break
  // the connection to the gateway. `LastFaultAt` therefore stays as it is.
  switch (Event.Kind) {
  case soak_event_kind::UpstreamLink:
    Checker.onUpstreamLinkFault(readBootClock() + Event.Duration);
    LimitChecker.onLinkFault(Upstream.Process->id(),
                             readBootClock() + Event.Duration);
    PauseChecker.onLinkFault(Upstream.Process->id(),
                             readBootClock() + Event.Duration);
    return injectFault(*Upstream.Proxy, Event);
  case soak_event_kind::Leaving:
    return leave(Upstream, Event);
  case soak_event_kind::RequestedPause:
    return pauseUpstreams(Upstream, Event);
  case soak_event_kind::Upstream: {
    // Up to `Hold`: `Replacement` covers another process at the address, and
    // the gateway tests cover responses that are too large.
    constexpr int Faults = static_cast<int>(upstream_behavior::Hold) + 1;
    Upstream.Process->Behavior =
        static_cast<upstream_behavior>(1 + Event.Variant % (Faults - 1));
    fake_upstream *Process = Upstream.Process.get();
    return schedule(Event.Duration, [Process] {
      Process->Behavior = upstream_behavior::Respond;
    });
  }
  case soak_event_kind::NamedLimit: {
    constexpr std::array<double, 4> Limits{0.5, 2, 5, 12};
    fake_upstream *Process = Upstream.Process.get();
    const double Limit =
        Limits[static_cast<std::size_t>(Event.Variant) % Limits.size()];
    nameLimit(*Process, Limit);
    return schedule(Event.Duration, [this, Process, Limit] {
      // A later event may have changed the limit.
      if (Process->Limit == Limit)
        nameLimit(*Process, std::nullopt);
    });
  }
  case soak_event_kind::Replacement: {
    const std::string OldKey = Upstream.Process->key();
    startUpstream(Upstream);
    // Until the store is updated, gateways that use the old entry reach another
    // process at its address.
    return schedule(Event.Duration / 4, [this, &Upstream, OldKey] {
      if (OldKey != Upstream.Process->key())
        Store.erase(OldKey);
      publishUpstream(Upstream, Upstream.Draining);
    });
  }
  default:
    Upstream.Draining = true;
    publishUpstream(Upstream, true);
    return schedule(Event.Duration, [this, &Upstream] {
      Upstream.Draining = false;
      publishUpstream(Upstream, false);
    });
  }
}

} // namespace ebonyvale

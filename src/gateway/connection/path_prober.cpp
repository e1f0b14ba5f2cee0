#include "gateway/connection/path_prober.h"

namespace ebonyvale {
namespace {

constexpr span_ns TickInterval = std::chrono::milliseconds(100);

} // namespace

path_prober::path_prober(gateway_core &Core)
    : Core(Core), TickTimer(Core.base(), [this] { onTick(); }) {}

void path_prober::start() { TickTimer.startPeriodic(TickInterval); }

void path_prober::onTick() {
  for (upstream_process &Upstream :
       Core.upstreamPaths().takeProbes(readBootClock())) {
    const endpoint Server{Upstream.Address, Upstream.Port};
    Core.links().probe(Server, [this, Owner = std::weak_ptr<const bool>(Alive),
                                Upstream = std::move(Upstream)](
                                   std::optional<loss_reason> Failure) {
      if (Owner.expired())
        return;
      if (Failure)
        Core.onConnectFailed(Upstream, *Failure, readBootClock());
      else
        Core.onUpstreamReached(Upstream, readBootClock());
    });
  }
}

} // namespace ebonyvale

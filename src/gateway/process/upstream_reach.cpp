// Which upstreams this instance reaches, and its relays to the others.
#include "gateway/process/gateway_core.h"
#include "gateway/process/origin_task.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {
namespace {

/// Time after which an instance without a path to an engine counts as cut from
/// it; peers have reported by then if the engine is down.
constexpr span_ns MinCutTime = std::chrono::milliseconds(700);

} // namespace

void gateway_core::onConnectFailed(const upstream_process &Upstream,
                                   loss_reason Reason, instant Now) {
  updateScheduler();
  // Idle connections may have been cut as well, and would hold a request until
  // the system gives them up.
  if (Reason == loss_reason::ConnectTimeout)
    Links.closeIdleConnections({Upstream.Address, Upstream.Port});
  if (Reason == loss_reason::ConnectFailed)
    onSoftwareUncertain(Upstream, "connect_failed", Now);
  if (!UpstreamPaths.onConnectFailed(Upstream, Now))
    return;
  Scheduler.onPathLost(Upstream.Id);
  Metrics.UnreachableUpstreams.Set(
      static_cast<double>(UpstreamPaths.lostCount()));
  Log.warn(event_category::Upstream, "path_lost",
           {{"upstream", Upstream.Id},
            {"reason", lossName(Reason)},
            {"unreachable", UpstreamPaths.lostCount()}});
}

void gateway_core::onUpstreamReached(const upstream_process &Upstream,
                                     instant Now) {
  if (!UpstreamPaths.onReached(Upstream, Now))
    return;
  Metrics.UnreachableUpstreams.Set(
      static_cast<double>(UpstreamPaths.lostCount()));
  Log.info(
      event_category::Upstream, "path_restored",
      {{"upstream", Upstream.Id}, {"unreachable", UpstreamPaths.lostCount()}});
  // While the path was cut, no connection would have shown a restart.
  onSoftwareUncertain(Upstream, "path_restored", Now);
}

void gateway_core::onConnectionLost(const upstream_process &Upstream,
                                    instant Now) {
  UpstreamPaths.onSuspected(Upstream, Now);
  onSoftwareUncertain(Upstream, "connection_lost", Now);
}

void gateway_core::onSoftwareUncertain(const upstream_process &Upstream,
                                       std::string_view Reason, instant Now) {
  if (!Unconfirmed.onConnectionLost(Upstream, Now))
    return;
  const upstream_entry *Entry = Directory.find(Upstream.Id);
  if (Entry)
    Log.info(event_category::Upstream, "software_uncertain",
             {{"upstream", Upstream.Id},
              {"born", Upstream.Born},
              {"software", Entry->Software},
              {"reason", Reason}});
}

bool gateway_core::verifyUpstream(
    std::string_view Upstream, const std::weak_ptr<verification_waiter> &Waiter,
    instant Now) {
  const upstream_entry *Entry = Directory.find(Upstream);
  return Verifier && Entry && Unconfirmed.statesStart(*Entry) &&
         Verifier->verify(Upstream, Waiter, /*Since=*/instant::min(), Now);
}

void gateway_core::verifyConnections(std::string_view Upstream,
                                     instant OpenedAt, instant Now) {
  const upstream_entry *Entry = Directory.find(Upstream);
  if (Verifier && Entry && Unconfirmed.statesStart(*Entry))
    Verifier->verify(Upstream, {}, OpenedAt, Now);
}

bool gateway_core::isProven(const upstream_entry &Entry) const {
  if (!Unconfirmed.statesStart(Entry))
    return isListed(Entry);
  return Links.hasIdleTo({Entry.Address, Entry.Port}, Entry.Born);
}

void gateway_core::onUpstreamEntry(const upstream_entry &Entry, instant Now) {
  if (EndVerifier)
    EndVerifier->onStated(Entry.process(), Entry.Born, Now);
}

start_evidence gateway_core::onUpstreamStarted(const upstream_process &Listed,
                                               std::int64_t Born,
                                               instant SentAt) {
  if (EndVerifier)
    EndVerifier->onStated(Listed, Born, readBootClock());
  if (Born != 0)
    Links.onServerStart({Listed.Address, Listed.Port}, Born, SentAt);
  const start_evidence Evidence = Unconfirmed.onStarted(Listed, Born, SentAt);
  if (Evidence == start_evidence::OtherProcess)
    UpstreamPauses.onReplaced(Listed,
                              {Listed.Id, Born, Listed.Address, Listed.Port},
                              readBootClock());
  if (Origins && Evidence == start_evidence::SameProcess)
    Origins->recordConfirmed(Listed, SentAt);
  return Evidence;
}

void gateway_core::onUpstreamStartless(const upstream_process &Listed) {
  if (Listed.Born == 0)
    return;
  Unconfirmed.onStartless(Listed);
  Log.info(event_category::Upstream, "start_not_stated",
           {{"upstream", Listed.Id}, {"born", Listed.Born}});
}

bool gateway_core::isCutFromEngines(instant Now) const {
  if (UpstreamPaths.lostCount() == 0)
    return false;
  bool AnyEngine = false;
  for (const auto &[Id, Entry] : Directory.all()) {
    if (Entry.Models.empty() || !Entry.isOpen())
      continue;
    AnyEngine = true;
    const auto Since = UpstreamPaths.lostSince(Entry);
    if (!Since || Now - *Since < MinCutTime ||
        !UpstreamPaths.mayPeersReach(Entry.Service, Now))
      return false;
  }
  return AnyEngine;
}

std::optional<endpoint>
gateway_core::relayEndpoint(std::string_view Peer) const {
  const auto Found = Roster.peers().find(Peer);
  if (Found == Roster.peers().end() || Found->second.RelayPort == 0)
    return std::nullopt;
  return endpoint{Found->second.Address, Found->second.RelayPort};
}

void gateway_core::updateRelays() {
  if (std::exchange(RelayGeneration, Roster.generation()) ==
      Roster.generation())
    return;
  std::vector<relay_peer> Listed;
  for (const auto &[Name, Entry] : Roster.peers())
    if (Entry.RelayPort != 0)
      Listed.push_back({Name, Entry.Domain});
  UpstreamPaths.setPeers(std::move(Listed));
}

} // namespace ebonyvale

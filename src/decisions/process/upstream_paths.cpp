#include "decisions/process/upstream_paths.h"

#include <algorithm>
#include <tuple>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

/// Relays of one failure domain that a request may choose from.
constexpr std::size_t RelaysPerDomain = 3;

/// Returns \p First, doubled \p Doublings times, at most \p Max.
span_ns doubled(span_ns First, unsigned Doublings, span_ns Max) {
  constexpr unsigned MaxDoublings = 8;
  return std::min<span_ns>(First * (1U << std::min(Doublings, MaxDoublings)),
                           Max);
}

} // namespace

upstream_paths::upstream_paths(
    std::string Self, std::string Domain,
    std::map<std::string, std::string> RegionOfDomain, path_options Options)
    : Self(std::move(Self)), Domain(std::move(Domain)),
      RegionOfDomain(std::move(RegionOfDomain)), Options(Options) {}

void upstream_paths::update(const upstream_directory &Directory) {
  IsolatedKnown = false;
  for (auto &[Id, Path] : Paths)
    Path.IsListed = false;
  for (const auto &[Id, Entry] : Directory.all()) {
    path &Path = Paths[Id];
    if (Path.Process != Entry.process()) {
      uncount(Path);
      Path = {};
      Path.Process = Entry.process();
    }
    Path.Service = Entry.Service;
    Path.IsOpen = Entry.isOpen();
    Path.IsListed = true;
  }
  for (auto Next = Paths.begin(); Next != Paths.end();) {
    const auto Path = Next++;
    if (Path->second.IsListed)
      continue;
    uncount(Path->second);
    Paths.erase(Path);
  }
}

void upstream_paths::scheduleProbe(path &Path, instant At) {
  Path.ProbeAt = At;
  ToProbe.insert(Path.Process.Id);
}

void upstream_paths::cancelProbe(path &Path) {
  Path.ProbeAt.reset();
  ToProbe.erase(Path.Process.Id);
}

void upstream_paths::uncount(path &Path) {
  cancelProbe(Path);
  Probing -= Path.Probing ? 1 : 0;
  Lost -= Path.LostSince ? 1 : 0;
}

upstream_paths::path *upstream_paths::find(const upstream_process &Upstream) {
  const auto Found = Paths.find(Upstream.Id);
  return Found == Paths.end() || Found->second.Process != Upstream
             ? nullptr
             : &Found->second;
}

const upstream_paths::path *
upstream_paths::find(const upstream_entry &Upstream) const {
  const auto Found = Paths.find(Upstream.Id);
  return Found == Paths.end() || Found->second.Process != Upstream.process()
             ? nullptr
             : &Found->second;
}

bool upstream_paths::onConnectFailed(const upstream_process &Upstream,
                                     instant Now) {
  path *Path = find(Upstream);
  if (!Path)
    return false;
  Probing -= std::exchange(Path->Probing, false) ? 1 : 0;
  const unsigned Doublings = Path->Failures++;
  Path->DirectFrom =
      Now + doubled(Options.DirectPause, Doublings, Options.MaxDirectPause);
  scheduleProbe(*Path, Now + doubled(Options.ProbeInterval, Doublings,
                                     Options.MaxProbeInterval));
  if (Path->LostSince)
    return false;
  Path->LostSince = Now;
  ++Lost;
  IsolatedKnown = false;
  sweep(Now);
  return true;
}

bool upstream_paths::onReached(const upstream_process &Upstream, instant Now) {
  ReachedAt = Now;
  path *Path = find(Upstream);
  if (!Path)
    return false;
  Probing -= std::exchange(Path->Probing, false) ? 1 : 0;
  Path->Failures = 0;
  if (Path->ProbeAt)
    cancelProbe(*Path);
  if (!std::exchange(Path->LostSince, std::nullopt))
    return false;
  --Lost;
  IsolatedKnown = false;
  return true;
}

void upstream_paths::onSuspected(const upstream_process &Upstream,
                                 instant Now) {
  if (path *Path = find(Upstream); Path && !Path->ProbeAt)
    scheduleProbe(*Path, Now);
}

void upstream_paths::sweep(instant Now) {
  if (Now - ReachedAt < Options.SilenceTime ||
      Now - SweptAt < Options.SweepInterval)
    return;
  SweptAt = Now;
  probeNext(Options.SweepSize, Now);
}

void upstream_paths::probeNext(std::size_t Count, instant Now) {
  auto Next = Paths.upper_bound(LastProbed);
  for (std::size_t Seen = 0; Seen < Paths.size() && Count > 0; ++Seen) {
    if (Next == Paths.end())
      Next = Paths.begin();
    path &Path = Next->second;
    if (!Path.ProbeAt && Path.IsOpen) {
      scheduleProbe(Path, Now);
      LastProbed = Next->first;
      --Count;
    }
    ++Next;
  }
}

std::optional<instant>
upstream_paths::lostSince(const upstream_entry &Upstream) const {
  const path *Path = find(Upstream);
  return Path ? Path->LostSince : std::nullopt;
}

instant upstream_paths::directFrom(const upstream_entry &Upstream) const {
  const path *Path = find(Upstream);
  return Path && Path->LostSince ? Path->DirectFrom : instant{};
}

const std::vector<std::string> &upstream_paths::isolatedServices() {
  if (std::exchange(IsolatedKnown, true))
    return Isolated;
  Isolated.clear();
  if (Lost == 0)
    return Isolated;
  std::set<std::string_view> Unreached;
  std::set<std::string_view> Reached;
  for (const auto &[Id, Path] : Paths)
    if (Path.IsOpen)
      (Path.LostSince ? Unreached : Reached).insert(Path.Service);
  for (const std::string_view Service : Unreached)
    if (!Reached.contains(Service))
      Isolated.emplace_back(Service);
  return Isolated;
}

std::vector<upstream_process> upstream_paths::takeProbes(instant Now) {
  const bool IsIdle = !Relays.empty() &&
                      Now - ReachedAt >= Options.IdleProbeAfter &&
                      Now - IdleProbedAt >= Options.IdleProbeAfter;
  if (IsIdle) {
    IdleProbedAt = Now;
    probeNext(1, Now);
  }
  std::vector<path *> Due;
  for (const std::string &Id : ToProbe)
    if (path &Path = Paths.find(Id)->second;
        !Path.Probing && *Path.ProbeAt <= Now)
      Due.push_back(&Path);
  std::ranges::stable_sort(Due, {},
                           [](const path *Path) { return *Path->ProbeAt; });
  std::vector<upstream_process> Taken;
  for (path *Path : Due) {
    if (Probing >= Options.MaxProbes)
      break;
    ++Probing;
    Path->Probing = true;
    Taken.push_back(Path->Process);
  }
  return Taken;
}

void upstream_paths::setPeers(std::vector<relay_peer> Listed) {
  for (auto &[Name, Relay] : Relays)
    Relay.IsListed = false;
  for (relay_peer &Peer : Listed) {
    relay &Relay = Relays[std::move(Peer.Name)];
    Relay.Domain = std::move(Peer.Domain);
    Relay.IsListed = true;
  }
  std::erase_if(Relays, [](const auto &Known) {
    return !Known.second.IsListed && Known.second.InFlight == 0;
  });
}

void upstream_paths::onPeerIsolated(std::string_view Peer,
                                    std::span<const std::string> Services,
                                    instant Now) {
  const auto Found = Relays.find(Peer);
  if (Found == Relays.end())
    return;
  Found->second.IsolatedUntil.clear();
  for (const std::string &Service : Services)
    Found->second.IsolatedUntil[Service] = Now + Options.IsolationTtl;
}

bool upstream_paths::isUsable(const relay &Relay, std::string_view Service,
                              instant Now) {
  const auto Isolated = Relay.IsolatedUntil.find(Service);
  const bool IsIsolated =
      Isolated != Relay.IsolatedUntil.end() && Now < Isolated->second;
  return Relay.IsListed && Now >= Relay.AvoidUntil && !IsIsolated;
}

bool upstream_paths::mayPeersReach(std::string_view Service,
                                   instant Now) const {
  return std::ranges::any_of(Relays, [&](const auto &Known) {
    return isUsable(Known.second, Service, Now);
  });
}

int upstream_paths::distanceTo(std::string_view PeerDomain) const {
  if (PeerDomain == Domain)
    return 0;
  const auto Own = RegionOfDomain.find(Domain);
  const auto Other = RegionOfDomain.find(std::string(PeerDomain));
  const bool SameRegion = Own != RegionOfDomain.end() &&
                          Other != RegionOfDomain.end() &&
                          Own->second == Other->second;
  return SameRegion ? 1 : 2;
}

relay_set upstream_paths::relaysFor(std::string_view Service, instant Now) {
  struct ranked {
    int Distance;
    std::size_t InFlight;
    std::uint64_t Order; ///< differs between instances, to spread their load
    std::string_view Name;
    relay *Relay;
  };
  std::vector<ranked> Usable;
  const std::uint64_t Seed = XXH3_64bits(Self.data(), Self.size());
  for (auto &[Name, Relay] : Relays) {
    if (!isUsable(Relay, Service, Now))
      continue;
    Usable.push_back({distanceTo(Relay.Domain), Relay.InFlight,
                      XXH3_64bits_withSeed(Name.data(), Name.size(), Seed),
                      Name, &Relay});
  }
  std::ranges::sort(Usable, [](const ranked &Left, const ranked &Right) {
    return std::tie(Left.Distance, Left.InFlight, Left.Order) <
           std::tie(Right.Distance, Right.InFlight, Right.Order);
  });
  const bool HasNear = !Usable.empty() && Usable.front().Distance == 0;
  relay_set Set;
  std::map<std::string_view, std::size_t> Counts; // by domain
  for (const ranked &Entry : Usable) {
    if ((HasNear && Entry.Distance > 0) ||
        ++Counts[Entry.Relay->Domain] > RelaysPerDomain)
      continue;
    std::erase_if(Entry.Relay->AvoidedUntil,
                  [Now](const auto &Avoided) { return Now >= Avoided.second; });
    Entry.Relay->Avoided.clear();
    for (const auto &[Upstream, Until] : Entry.Relay->AvoidedUntil)
      Entry.Relay->Avoided.push_back(Upstream);
    Set.Options.push_back(
        {Entry.Name, Entry.Relay->Domain, Entry.Relay->Avoided});
  }
  return Set;
}

std::optional<std::string_view>
upstream_paths::relayTo(const upstream_entry &Upstream,
                        const relay_set &Set) const {
  std::optional<std::string_view> Best;
  std::size_t Failed = 0;
  for (const relay_set::option &Option : Set.Options) {
    if (std::ranges::binary_search(Option.Avoided, Upstream.Id)) {
      if (++Failed >= Options.MaxRelaysPerUpstream)
        return std::nullopt;
      continue;
    }
    // Beyond the own domain, a relay near the upstream saves a long way.
    if (Option.Domain == Domain || Option.Domain == Upstream.Domain)
      return Option.Peer;
    if (!Best)
      Best = Option.Peer;
  }
  return Best;
}

void upstream_paths::onRelaySent(std::string_view Peer) {
  if (const auto Found = Relays.find(Peer); Found != Relays.end())
    ++Found->second.InFlight;
}

void upstream_paths::onRelayEnded(std::string_view Peer) {
  if (const auto Found = Relays.find(Peer);
      Found != Relays.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void upstream_paths::onRelayed(std::string_view Peer) {
  if (const auto Found = Relays.find(Peer); Found != Relays.end())
    Found->second.Failures = 0;
}

void upstream_paths::onRelayFailed(std::string_view Peer,
                                   const upstream_entry &Upstream,
                                   relay_failure Failure, instant Now) {
  const auto Found = Relays.find(Peer);
  if (Found == Relays.end())
    return;
  relay &Relay = Found->second;
  switch (Failure) {
  case relay_failure::Unreachable:
    Relay.AvoidedUntil[Upstream.Id] = Now + Options.UnreachablePause;
    // It may reach no other upstream either and not have told so yet.
    Relay.AvoidUntil =
        std::max<instant>(Relay.AvoidUntil, Now + Options.UnreachablePause);
    return;
  case relay_failure::Declined:
    Relay.AvoidedUntil[Upstream.Id] = Now + Options.DeclinedPause;
    return;
  case relay_failure::Busy:
    Relay.AvoidUntil = Now + Options.BusyPause;
    return;
  case relay_failure::Lost:
    Relay.AvoidUntil = Now + doubled(Options.DirectPause, Relay.Failures++,
                                     Options.MaxDirectPause);
    return;
  }
}

} // namespace ebonyvale

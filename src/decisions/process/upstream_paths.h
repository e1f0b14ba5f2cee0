/// \file
/// Which upstreams this instance cannot reach, and the peers through which it
/// can send requests to them.
///
/// An instance may lose its links to upstreams while its peers keep theirs. It
/// then sends requests through a peer, its relay. A relay only passes a request
/// on to the upstream that this instance has chosen, over its own connection,
/// so limits, retries and the checks of responses stay with this instance, and
/// no request passes two relays.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_PATHS_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_PATHS_H

#include "common/instant.h"
#include "decisions/process/upstream_directory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// A peer that passes requests on to upstreams.
struct relay_peer {
  std::string Name;
  std::string Domain; ///< failure domain
};

/// Why a relay has not passed a request on.
enum class relay_failure {
  Unreachable, ///< it has no path to the upstream either
  Declined,    ///< the upstream may get no request from it now
  Busy,        ///< it passes on as many requests as it can, or is stopping
  Lost,        ///< the connection to it
};

/// Options of the paths.
struct path_options {
  /// Time without direct requests after a failed connect, doubled by each
  /// consecutive failure up to the maximum.
  span_ns DirectPause = std::chrono::milliseconds(400);
  span_ns MaxDirectPause = std::chrono::milliseconds(4000);
  /// Time between two probes of an upstream, doubled in the same way.
  span_ns ProbeInterval = std::chrono::milliseconds(400);
  span_ns MaxProbeInterval = std::chrono::milliseconds(1600);
  /// Largest number of probes in flight.
  std::size_t MaxProbes = 8;
  /// If an upstream is lost and none has responded for `SilenceTime`, up to
  /// `SweepSize` others are probed before a request is sent to them.
  span_ns SilenceTime = std::chrono::milliseconds(250);
  span_ns SweepInterval = std::chrono::milliseconds(1000);
  std::size_t SweepSize = 32;
  /// An upstream is probed if none has responded for this long, so that an
  /// instance with little traffic learns of a partition before its callers do.
  span_ns IdleProbeAfter = std::chrono::milliseconds(1000);
  /// How long a peer's report that it is isolated holds.
  span_ns IsolationTtl = std::chrono::milliseconds(3000);
  /// How long an upstream that a relay could not reach, or declined, is not
  /// sent to through it.
  span_ns UnreachablePause = std::chrono::milliseconds(1000);
  span_ns DeclinedPause = std::chrono::milliseconds(200);
  /// How long a busy relay is not used.
  span_ns BusyPause = std::chrono::milliseconds(100);
  /// An upstream that this many relays cannot reach counts as down.
  std::size_t MaxRelaysPerUpstream = 3;
};

/// Relays for one request, in the order of preference.
struct relay_set {
  struct option {
    std::string_view Peer;
    std::string_view Domain;
    std::span<const std::string> Avoided; ///< upstreams not to send to
  };
  std::vector<option> Options;
};

/// Tracks the paths to upstreams. State of an earlier process of an upstream
/// does not apply to a later one.
class upstream_paths {
public:
  /// \p Self and \p Domain are the name and failure domain of this instance.
  upstream_paths(std::string Self, std::string Domain,
                 std::map<std::string, std::string> RegionOfDomain,
                 path_options Options = {});

  /// Applies the discovered upstreams.
  void update(const upstream_directory &Directory);

  /// Records that no connection to \p Upstream could be opened. Returns whether
  /// its path was not known to be lost.
  bool onConnectFailed(const upstream_process &Upstream, instant Now);
  /// Records a response of \p Upstream to this instance, or a connection that
  /// was opened. Returns whether its path was lost.
  bool onReached(const upstream_process &Upstream, instant Now);
  /// Records that a connection to \p Upstream was lost, so that it is probed.
  void onSuspected(const upstream_process &Upstream, instant Now);

  /// Returns since when the path to \p Upstream is lost, if it is.
  std::optional<instant> lostSince(const upstream_entry &Upstream) const;
  /// Returns from when on a request may be sent to \p Upstream directly though
  /// its path is lost.
  instant directFrom(const upstream_entry &Upstream) const;
  /// Returns the number of upstreams without a path.
  std::size_t lostCount() const { return Lost; }
  /// Returns the services of which this instance reaches no open upstream.
  const std::vector<std::string> &isolatedServices();
  /// Returns whether peers may reach upstreams of \p Service.
  bool mayPeersReach(std::string_view Service, instant Now) const;

  /// Returns upstreams to open a connection to. Each must be followed by
  /// `onConnectFailed` or `onReached`.
  std::vector<upstream_process> takeProbes(instant Now);

  /// Sets the peers that can be relays; keeps what is known of them.
  void setPeers(std::vector<relay_peer> Listed);
  /// Records that \p Peer reaches no upstream of \p Services.
  void onPeerIsolated(std::string_view Peer,
                      std::span<const std::string> Services, instant Now);
  /// Returns the relays for requests to \p Service: those of the own failure
  /// domain, or a few of each other domain if it has none.
  relay_set relaysFor(std::string_view Service, instant Now);
  /// Returns the relay to send to \p Upstream through, or nothing.
  std::optional<std::string_view> relayTo(const upstream_entry &Upstream,
                                          const relay_set &Relays) const;

  /// Records that a request was sent through \p Peer. Each call must be paired
  /// with one call of `onRelayEnded`.
  void onRelaySent(std::string_view Peer);
  void onRelayEnded(std::string_view Peer);
  /// Records that \p Peer has passed on a response.
  void onRelayed(std::string_view Peer);
  /// Records that \p Peer has not passed on a request to \p Upstream.
  void onRelayFailed(std::string_view Peer, const upstream_entry &Upstream,
                     relay_failure Failure, instant Now);

private:
  struct path {
    upstream_process Process;
    std::string Service;
    bool IsOpen = false;
    bool IsListed = false;
    std::optional<instant> LostSince;
    unsigned Failures = 0; ///< consecutive
    instant DirectFrom;
    std::optional<instant> ProbeAt; ///< nothing: no probe is due
    bool Probing = false;
  };
  struct relay {
    std::string Domain;
    bool IsListed = false;
    std::size_t InFlight = 0;
    unsigned Failures = 0; ///< consecutive
    instant AvoidUntil;
    std::map<std::string, instant, std::less<>> IsolatedUntil; ///< by service
    std::map<std::string, instant, std::less<>> AvoidedUntil;  ///< by upstream
    std::vector<std::string> Avoided; ///< upstreams, as of `relaysFor`
  };

  void scheduleProbe(path &Path, instant At);
  void cancelProbe(path &Path);
  /// Removes \p Path from the counts.
  void uncount(path &Path);
  static bool isUsable(const relay &Relay, std::string_view Service,
                       instant Now);
  path *find(const upstream_process &Upstream);
  const path *find(const upstream_entry &Upstream) const;
  /// Probes further upstreams if this instance seems to be partitioned.
  void sweep(instant Now);
  /// Makes probes of the next \p Count open upstreams due.
  void probeNext(std::size_t Count, instant Now);
  int distanceTo(std::string_view PeerDomain) const;

  std::string Self;
  std::string Domain;
  std::map<std::string, std::string> RegionOfDomain;
  path_options Options;
  std::map<std::string, path, std::less<>> Paths; ///< by id
  std::map<std::string, relay, std::less<>> Relays;
  std::set<std::string, std::less<>> ToProbe; ///< ids with a `ProbeAt`
  std::vector<std::string> Isolated;          ///< valid if `IsolatedKnown`
  bool IsolatedKnown = false;
  std::size_t Lost = 0;    ///< upstreams without a path
  std::size_t Probing = 0; ///< probes in flight
  instant ReachedAt;       ///< when an upstream last responded
  instant SweptAt;
  instant IdleProbedAt;
  std::string LastProbed; ///< id; `probeNext` continues after it
};

} // namespace ebonyvale

#endif

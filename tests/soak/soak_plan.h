/// \file
/// The faults and configuration changes of one soak run, drawn from a seed.
#ifndef EBONYVALE_TESTS_SOAK_SOAK_PLAN_H
#define EBONYVALE_TESTS_SOAK_SOAK_PLAN_H

#include "common/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonyvale {

/// Kinds of faults and configuration changes.
enum class soak_event_kind {
  CallerLink,     ///< fault on the link from callers to a gateway
  StoreLink,      ///< fault on the link from a gateway to the store
  UpstreamLink,   ///< fault on the link from all gateways to an upstream
  Store,          ///< store fault for one gateway or for all
  Compaction,     ///< the store drops its change history
  Upstream,       ///< fault of an upstream
  Replacement,    ///< a new upstream process takes over an address
  Draining,       ///< an upstream is marked as draining
  Terminate,      ///< SIGTERM to a gateway; it is restarted
  Kill,           ///< SIGKILL to a gateway; it is restarted
  KillAll,        ///< SIGKILL to all gateways at once
  Pause,          ///< SIGSTOP to a gateway, then SIGCONT
  KeyWithdrawal,  ///< a key is withdrawn
  NewVersion,     ///< a new configuration adds a key
  NewWeights,     ///< a newer weights version is published
  NamedLimit,     ///< an upstream names a limit, or another one than before
  Restore,        ///< the store is down, then returns from a copy made `At`
  Release,        ///< upstreams are replaced by another software version
  Leaving,        ///< an upstream says that it leaves, and ends later
  RequestedPause, ///< upstreams refuse requests with a Retry-After
  OtherBuild,     ///< SIGTERM to a gateway; the other build follows
};
inline constexpr int SoakEventKinds = 21;

/// Returns the name of \p Kind in plans.
std::string_view soakEventKindName(soak_event_kind Kind);

/// One fault or configuration change. Events may overlap.
struct soak_event {
  soak_event_kind Kind{};
  span_ns At{};           ///< from the start of traffic
  span_ns Duration{};     ///< until the fault ends
  std::size_t Target = 0; ///< gateway, upstream or key; modulo their number
  int Variant = 0;        ///< fault of this kind; modulo their number
};

/// Size and duration of a run.
struct soak_size {
  std::size_t Gateways = 3;
  std::size_t Upstreams = 3;
  std::size_t Callers = 24;  ///< each sends one request at a time
  std::size_t Streamers = 0; ///< of them, those that only request streams
  span_ns Length = std::chrono::seconds(8);
  /// Mean time between two events.
  span_ns Gap = std::chrono::milliseconds(350);
  /// Mean time between two upstreams that name a limit.
  span_ns LimitGap = std::chrono::milliseconds(4000);
  /// Mean time between two restores of the store.
  span_ns RestoreGap = std::chrono::milliseconds(8000);
  /// Mean time between two releases of upstreams' software.
  span_ns ReleaseGap = std::chrono::milliseconds(2500);
  /// Mean time between two upstreams that say that they leave.
  span_ns LeavingGap = std::chrono::milliseconds(6000);
  /// Mean time between two upstreams that ask for pauses.
  span_ns PauseGap = std::chrono::milliseconds(5000);
  /// Mean time between two gateways killed besides; 0: none.
  span_ns KillGap{0};
  /// Mean time between two gateways replaced by the other build; 0: none.
  span_ns BuildGap{0};
};

/// Returns whether an event of \p Kind is a fault of gateways, their links or
/// the store, which loses nothing.
bool touchesGatewaysOnly(soak_event_kind Kind);

/// Returns the size of a run of \p Length in which gateways are killed while
/// upstreams change their software and most other faults are rare, so that
/// streams are resumed at gateways without a fault.
soak_size releaseSize(span_ns Length);

/// What the command line says of the size of a run.
struct size_request {
  span_ns Length = std::chrono::seconds(8);
  bool Releases = false;                 ///< see `releaseSize`
  std::optional<std::size_t> Gateways{}; ///< else that of the kind of run
  std::optional<std::size_t> Callers{};  ///< as well
  bool TwoBuilds = false;
};

/// Returns the size of a run, or nothing without a gateway or a caller. The
/// share of callers that only request streams does not depend on their number.
std::optional<soak_size> chooseSize(const size_request &Request);

/// Returns the events of a run in order of time. The same seed and size give
/// the same plan.
std::vector<soak_event> makeSoakPlan(std::uint32_t Seed, const soak_size &Size);

/// Returns a readable line that describes \p Event.
std::string describe(const soak_event &Event);

} // namespace ebonyvale

#endif

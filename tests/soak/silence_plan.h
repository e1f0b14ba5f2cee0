/// \file
/// Plans silences of upstreams, changes of the configuration, and other faults.
#ifndef EBONYVALE_TESTS_SOAK_SILENCE_PLAN_H
#define EBONYVALE_TESTS_SOAK_SILENCE_PLAN_H

#include "common/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebonyvale {

enum class silence_event_kind {
  Silence,      ///< SIGSTOP to upstreams, then SIGCONT
  IdleTimeout,  ///< callers' connections get another idle timeout
  RouteTimeout, ///< routes get another timeout
  Route,        ///< routes move to the other service
  Kill,         ///< SIGKILL to a gateway; it is restarted
  Terminate,    ///< SIGTERM to a gateway; it is restarted
  Pause,        ///< SIGSTOP to a gateway, then SIGCONT
  CallerLink,   ///< link between callers and a gateway
  StoreLink,    ///< link between a gateway and its store
  Store,        ///< the store, for one gateway or for all
  KillOthers,   ///< SIGKILL to all gateways but one; they are restarted
  UpstreamKill, ///< SIGKILL to upstreams; they are restarted under their ids
};

/// One event; events may overlap.
struct silence_event {
  silence_event_kind Kind{};
  span_ns At{};       ///< from the start of traffic
  span_ns Duration{}; ///< until it ends
  int Target = 0;     ///< service or gateway; modulo their number
  int Variant = 0;
};

/// Returns the events of a run in order of time: changes of the configuration
/// that a silence follows 0.6 s later, further ones of both, with \p Faults
/// those of gateways and their links, and with \p Kills those of upstreams.
std::vector<silence_event> makeSilencePlan(std::uint32_t Seed, span_ns Length,
                                           bool Faults, bool Kills = false);

/// Returns a readable line that describes \p Event.
std::string describe(const silence_event &Event);

} // namespace ebonyvale

#endif

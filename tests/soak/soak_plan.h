/// \file
/// What goes wrong in one run of the soak, drawn from a seed.
#ifndef EBONYVALE_TESTS_SOAK_SOAK_PLAN_H
#define EBONYVALE_TESTS_SOAK_SOAK_PLAN_H

#include "common/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonyvale {

/// Kinds of trouble.
enum class soak_kind {
  CallerLink,   ///< between callers and a gateway
  StoreLink,    ///< between a gateway and the store
  UpstreamLink, ///< between all gateways and an upstream
  Store,        ///< the store harms the calls of one gateway or of all
  History,      ///< the store forgets its history
  Upstream,     ///< an upstream behaves badly
  Replaced,     ///< an upstream starts anew at the same address
  Draining,     ///< an upstream leaves for a while
  Terminate,    ///< SIGTERM, then a new process
  Kill,         ///< SIGKILL, then a new process
  KillAll,      ///< SIGKILL for all at once
  Pause,        ///< SIGSTOP, then SIGCONT
  Withdraw,     ///< a key is taken away
  NewVersion,   ///< a new configuration with another key
  NewWeights,   ///< newer weights are named
};
inline constexpr int SoakKinds = 15;

std::string_view soakKindName(soak_kind Kind);

/// One trouble. Troubles come in series and overlap.
struct soak_event {
  soak_kind Kind{};
  span_ns At{};  ///< since traffic began
  span_ns For{}; ///< until it is undone
  std::size_t Which =
      0;       ///< gateway, upstream or key; taken modulo their number
  int How = 0; ///< harm or act; taken modulo their number
};

/// Size and length of a run.
struct soak_size {
  std::size_t Gateways = 3;
  std::size_t Upstreams = 3;
  std::size_t Callers = 24;
  span_ns Length = std::chrono::seconds(8);
  /// Mean time between two troubles.
  span_ns Gap = std::chrono::milliseconds(350);
};

/// The troubles of \p Seed by their instants. The same seed and size give the
/// same plan.
std::vector<soak_event> makeSoakPlan(std::uint32_t Seed, const soak_size &Size);

/// One line for people.
std::string describe(const soak_event &Event);

} // namespace ebonyvale

#endif

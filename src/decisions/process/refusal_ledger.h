/// \file
/// Refusals that can be looked up: a bounded ring with exact counts.
#ifndef EBONYVALE_DECISIONS_PROCESS_REFUSAL_LEDGER_H
#define EBONYVALE_DECISIONS_PROCESS_REFUSAL_LEDGER_H

#include "common/error_kind.h"
#include "common/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonyvale {

/// The numbers behind a decision about limits, all in tokens.
struct limit_figures {
  double Asked = 0;
  double Level = 0; ///< what this instance could spend at that instant
  double Part = 0;  ///< this instance's part of the team's burst
};

/// One refusal.
struct refusal {
  std::string Reference; ///< also given to the caller
  error_kind Kind{};
  std::string Team;  ///< empty where the caller was not known
  std::string Route; ///< model or route name, or the path asked for
  std::string Instance;
  wall_ms At{};
  std::uint64_t ConfigurationVersion = 0;
  limit_figures Figures;
  std::string Detail;
};

/// Number of refusals of one team and kind in one minute.
struct refusal_count {
  wall_ms Minute{};
  std::string Team;
  error_kind Kind{};
  std::uint64_t Total = 0; ///< all refusals
  std::uint64_t Kept = 0;  ///< those whose detail is still in the ring
};

/// Which refusals are asked for; an empty team means every team.
struct refusal_query {
  std::string Team;
  wall_ms From{};
  wall_ms To{};
};

/// Whether \p Refusal is asked for.
bool matches(const refusal_query &Query, const refusal &Refusal);

/// What the ledger keeps.
struct refusal_bounds {
  std::size_t Records = 20000;             ///< details in the ring
  std::chrono::minutes Retention{24 * 60}; ///< age at which counts are dropped
};

/// Keeps the newest refusals in full and the number of all.
class refusal_ledger {
public:
  /// \p Instance starts every reference made here; \p Boot tells apart the
  /// references of processes that ran under the same name.
  refusal_ledger(std::string_view Instance, std::uint64_t Boot,
                 refusal_bounds Bounds);

  /// Records \p Refusal, fills in its reference and instance and returns it.
  const refusal &record(refusal Refusal);

  /// The refusal with \p Reference, if its detail is still kept.
  const refusal *find(std::string_view Reference) const;

  /// Details that match, oldest first.
  std::vector<refusal> select(const refusal_query &Query) const;

  /// Counts that match; they stay exact when details have been dropped.
  std::vector<refusal_count> count(const refusal_query &Query) const;

private:
  using count_key = std::pair<wall_ms, std::pair<std::string, error_kind>>;

  void dropOldest();
  void dropExpired(wall_ms Now);

  std::string ReferencePrefix;
  std::string Instance;
  refusal_bounds Bounds;
  std::uint64_t Sequence = 0;
  std::deque<refusal> Ring;
  std::map<count_key, refusal_count> Counts;
};

} // namespace ebonyvale

#endif

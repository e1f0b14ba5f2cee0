/// \file
/// Bounded log of refusals that operators can query, with exact counts.
#ifndef EBONYVALE_DECISIONS_PROCESS_REFUSAL_LOG_H
#define EBONYVALE_DECISIONS_PROCESS_REFUSAL_LOG_H

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

/// Token amounts behind an admission decision.
struct quota_figures {
  double Requested = 0;  ///< reserved for the request
  double Level = 0;      ///< what this instance could spend at that time
  double ShareBurst = 0; ///< burst of this instance's quota share
};

/// A request that was refused.
struct refusal {
  std::string Reference; ///< also sent to the caller
  error_kind Kind{};
  std::string Team;  ///< empty if the caller was unknown
  std::string Route; ///< model or route name, or the requested path
  std::string Instance;
  wall_ms At{};
  std::uint64_t ConfigurationVersion = 0;
  quota_figures Figures;
  std::string Detail;
};

/// Number of refusals of one team and error kind within one minute.
struct refusal_count {
  wall_ms Minute{};
  std::string Team;
  error_kind Kind{};
  std::uint64_t Total = 0; ///< all refusals
  std::uint64_t Kept = 0;  ///< refusals still in the ring
};

/// Selects refusals from `From` to `To`, both included. An empty team selects
/// all teams.
struct refusal_query {
  std::string Team;
  wall_ms From{};
  wall_ms To{};
};

/// Returns whether \p Query selects \p Refusal.
bool matches(const refusal_query &Query, const refusal &Refusal);

/// Capacity of a `refusal_log`.
struct refusal_log_options {
  std::size_t Records = 20000;             ///< refusals in the ring
  std::chrono::minutes Retention{24 * 60}; ///< age at which counts are dropped
};

/// Keeps the newest refusals in full, and counts of all refusals.
class refusal_log {
public:
  /// References made here start with \p Instance and \p Boot, which
  /// distinguishes processes that ran under the same instance name.
  refusal_log(std::string_view Instance, std::uint64_t Boot,
              refusal_log_options Options);

  /// Fills in the reference and instance of \p Refusal, records it and returns
  /// the record, valid until the next call.
  const refusal &record(refusal Refusal);

  /// Returns the refusal with \p Reference, or null if it is not in the ring.
  const refusal *find(std::string_view Reference) const;

  /// Returns the refusals in the ring that \p Query selects, oldest first.
  std::vector<refusal> select(const refusal_query &Query) const;

  /// Returns the counts of minutes that overlap \p Query. Counts stay exact
  /// after refusals have been dropped from the ring.
  std::vector<refusal_count> count(const refusal_query &Query) const;

private:
  using count_key = std::pair<wall_ms, std::pair<std::string, error_kind>>;

  void dropOldest();
  void dropExpired(wall_ms Now);

  std::string ReferencePrefix;
  std::string Instance;
  refusal_log_options Options;
  std::uint64_t Sequence = 0;
  std::deque<refusal> Ring;
  std::map<count_key, refusal_count> Counts;
};

} // namespace ebonyvale

#endif

/// \file
/// Aggregates refusals into a few rows, small enough for the platform's store,
/// where they can be looked up after the instance has stopped.
#ifndef EBONYVALE_DECISIONS_PROCESS_REFUSAL_AGGREGATOR_H
#define EBONYVALE_DECISIONS_PROCESS_REFUSAL_AGGREGATOR_H

#include "decisions/process/refusal_log.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace ebonyvale {

/// Refusals of one team and error kind within one second.
struct refusal_row {
  refusal Latest; ///< the last one, in full
  std::uint64_t Count = 0;
};

/// Refusals that are written to the store in one call.
struct refusal_batch {
  std::vector<refusal_row> Rows; ///< by time
  std::uint64_t Unlisted = 0;    ///< refusals that are not in any row
};

/// Collects refusals until they are written to the store.
class refusal_aggregator {
public:
  /// Rows in one batch. A row takes about 300 bytes in the store.
  static constexpr std::size_t MaxRows = 16;
  /// Rows that are collected between two calls of `take`. Refusals that would
  /// need a further row are only counted.
  static constexpr std::size_t MaxPendingRows = 256;

  /// Counts \p Refusal in the row of its second, team and error kind.
  void add(const refusal &Refusal);
  bool empty() const { return Rows.empty() && Unlisted == 0; }

  /// Returns the collected refusals and clears them. Only the `MaxRows` rows
  /// with the most refusals are listed; the others are only counted.
  refusal_batch take();

private:
  /// Second, team and kind.
  using row_key = std::tuple<wall_ms, std::string, error_kind>;

  std::map<row_key, refusal_row> Rows;
  std::uint64_t Unlisted = 0;
};

} // namespace ebonyvale

#endif

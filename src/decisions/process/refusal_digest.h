/// \file
/// Refusals of some seconds in few rows, small enough to be kept by the
/// platform's store after the instance that gave them is gone.
#ifndef EBONYVALE_DECISIONS_PROCESS_REFUSAL_DIGEST_H
#define EBONYVALE_DECISIONS_PROCESS_REFUSAL_DIGEST_H

#include "decisions/process/refusal_ledger.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace ebonyvale {

/// Refusals of one team and kind in one second.
struct refusal_row {
  refusal Latest; ///< the last of them, in full
  std::uint64_t Count = 0;
};

/// What is written at once.
struct refusal_batch {
  std::vector<refusal_row> Rows; ///< by their instants
  std::uint64_t Unlisted = 0;    ///< refusals that no row counts
};

/// Collects refusals until they are written.
class refusal_digest {
public:
  /// Rows of one batch; about 300 bytes each in the store.
  static constexpr std::size_t MaxRows = 16;
  /// Rows that are collected at most; what comes later is only counted.
  static constexpr std::size_t MaxCollected = 256;

  void add(const refusal &Refusal);
  bool empty() const { return Rows.empty() && Unlisted == 0; }

  /// The rows with the most refusals; the rest is only counted.
  refusal_batch take();

private:
  /// Second, team and kind.
  using row_key = std::tuple<wall_ms, std::string, error_kind>;

  std::map<row_key, refusal_row> Rows;
  std::uint64_t Unlisted = 0;
};

} // namespace ebonyvale

#endif

/// \file
/// Policies that choose the engine for a request.
#ifndef EBONYVALE_DECISIONS_PROCESS_PLACEMENT_H
#define EBONYVALE_DECISIONS_PROCESS_PLACEMENT_H

#include "decisions/process/engine_table.h"
#include "decisions/process/prefix_index.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace ebonyvale {

/// A request to be placed.
struct placement_query {
  std::span<const piece_hash> Chain;
  double PieceMs = 0;                    ///< time to prefill one piece
  std::span<const engine_id> Candidates; ///< usable engines of the model
};

/// The chosen engine and the estimates behind the choice.
struct placement_choice {
  engine_id Engine = 0;
  std::size_t ExpectedPieces = 0; ///< leading pieces expected in the cache
  span_ns ExpectedAge{0};         ///< since the last of them was used
  double CostMs = 0;              ///< weighted time to the first token
};

/// Strategy for choosing an engine. All policies get the same engine table;
/// only those that route by prefix use the index.
class placement_policy {
public:
  virtual ~placement_policy() = default;

  /// Chooses one of the candidates, which must not be empty.
  virtual placement_choice choose(const placement_query &Query,
                                  const engine_table &Engines,
                                  const prefix_index &Index, instant Now) = 0;
};

/// Creates a policy by name: `prefix`, or one of the baselines `random`,
/// `least_loaded` and `consistent_hash`. Returns null for any other name. Only
/// `random` uses \p Seed.
std::unique_ptr<placement_policy> makePlacementPolicy(std::string_view Name,
                                                      std::uint64_t Seed);

/// Names that `makePlacementPolicy` accepts, separated by '|'.
inline constexpr std::string_view PlacementPolicyNames =
    "prefix|random|least_loaded|consistent_hash";

/// Returns a choice of \p Engine with the number of consecutive leading pieces
/// that its cache probably holds. `CostMs` is not set.
placement_choice expectedPieces(std::span<const piece_hash> Chain,
                                const engine_state &Engine,
                                const prefix_index &Index, instant Now);

} // namespace ebonyvale

#endif

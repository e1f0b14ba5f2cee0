/// \file
/// Prompts split into pieces (cache blocks), each identified by a chained hash.
#ifndef EBONYVALE_DECISIONS_REQUEST_PROMPT_PIECES_H
#define EBONYVALE_DECISIONS_REQUEST_PROMPT_PIECES_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Identifies a piece together with all pieces before it.
using piece_hash = std::uint64_t;

/// The hashes of the complete pieces of a prompt, in order.
using piece_chain = std::vector<piece_hash>;

/// The owner of a chain; different owners share no cached pieces.
struct chain_owner {
  std::string_view FleetSecret; ///< keeps callers from forging collisions
  std::string_view Team;
  std::string_view Model;
  std::string_view Version; ///< version of the weights
};

/// Returns the seed of the chains of \p Owner, which is the same on every
/// instance of a fleet.
std::uint64_t chainSeed(const chain_owner &Owner);

/// Splits \p Prompt into pieces of \p PieceBytes and returns their hashes,
/// chained from \p Seed. An incomplete last piece is left out, since engines
/// cache complete blocks only.
piece_chain chainPieces(std::uint64_t Seed, std::string_view Prompt,
                        std::size_t PieceBytes);

} // namespace ebonyvale

#endif

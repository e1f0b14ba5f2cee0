#include "decisions/request/prompt_pieces.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {

std::uint64_t chainSeed(const chain_owner &Owner) {
  std::uint64_t Seed = 0;
  // Each field and its length seed the next, so that moving characters from one
  // field to another changes the seed.
  for (const std::string_view Field :
       {Owner.FleetSecret, Owner.Team, Owner.Model, Owner.Version})
    Seed =
        XXH3_64bits_withSeed(Field.data(), Field.size(), Seed + Field.size());
  return Seed;
}

piece_chain chainPieces(std::uint64_t Seed, std::string_view Prompt,
                        std::size_t PieceBytes) {
  piece_chain Chain;
  Chain.reserve(Prompt.size() / PieceBytes);
  piece_hash Previous = Seed;
  while (Prompt.size() >= PieceBytes) {
    Previous = XXH3_64bits_withSeed(Prompt.data(), PieceBytes, Previous);
    Chain.push_back(Previous);
    Prompt.remove_prefix(PieceBytes);
  }
  return Chain;
}

} // namespace ebonyvale

#include "decisions/process/prefix_index.h"

#include <algorithm>
#include <utility>

namespace ebonyvale {

void piece_holders::touch(engine_epoch Engine, instant Now) {
  std::size_t Position = 0;
  while (Position < Count && Holders[Position].Engine.Engine != Engine.Engine)
    ++Position;
  if (Position == Count)
    Count = std::min(Count + 1, MaxHolders);
  Position = std::min(Position, Count - 1);
  std::move_backward(Holders.begin(), Holders.begin() + Position,
                     Holders.begin() + Position + 1);
  Holders[0] = {Engine, Now};
}

void prefix_index::touch(std::span<const piece_hash> Chain, engine_epoch Engine,
                         instant Now) {
  for (const piece_hash Piece : Chain) {
    auto Found = Young.find(Piece);
    if (Found == Young.end()) {
      if (Young.size() >= GenerationSize)
        Old = std::exchange(Young, {});
      const auto Older = Old.find(Piece);
      const piece_holders Known =
          Older == Old.end() ? piece_holders{} : Older->second;
      if (Older != Old.end())
        Old.erase(Older);
      Found = Young.emplace(Piece, Known).first;
    }
    Found->second.touch(Engine, Now);
  }
}

std::span<const piece_holder> prefix_index::holders(piece_hash Piece) const {
  auto Found = Young.find(Piece);
  if (Found != Young.end())
    return Found->second.all();
  Found = Old.find(Piece);
  if (Found != Old.end())
    return Found->second.all();
  return {};
}

} // namespace ebonyvale

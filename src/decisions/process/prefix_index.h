/// \file
/// Bounded index of the engines that probably hold each cached piece.
#ifndef EBONYVALE_DECISIONS_PROCESS_PREFIX_INDEX_H
#define EBONYVALE_DECISIONS_PROCESS_PREFIX_INDEX_H

#include "common/instant.h"
#include "decisions/request/prompt_pieces.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace ebonyvale {

/// Identifies an engine within one process; ids are dense.
using engine_id = std::uint32_t;

/// Identifies an engine and the state of its cache. The epoch is incremented
/// whenever what is known of the cache becomes invalid.
struct engine_epoch {
  engine_id Engine = 0;
  std::uint32_t Epoch = 0;

  bool operator==(const engine_epoch &) const = default;
};

/// An engine that has used a piece and may still cache it.
struct piece_holder {
  engine_epoch Engine;
  instant Touched; ///< last use that this process knows of
};

/// Lists the holders of one piece, most recently used first.
class piece_holders {
public:
  /// Popular pieces are cached on more engines, but the most recent few suffice
  /// for a choice.
  static constexpr std::size_t MaxHolders = 4;

  /// Moves \p Engine to the front, replacing any earlier epoch of the engine.
  /// When full, drops the least recently used holder.
  void touch(engine_epoch Engine, instant Now);

  std::span<const piece_holder> all() const { return {Holders.data(), Count}; }

private:
  std::array<piece_holder, MaxHolders> Holders{};
  std::size_t Count = 0;
};

/// Maps pieces to their holders. Two generations bound its size: when the young
/// one is full, it replaces the old one, whose entries are dropped unless they
/// were touched meanwhile.
class prefix_index {
public:
  /// Keeps at most \p MaxEntries pieces.
  explicit prefix_index(std::size_t MaxEntries)
      : GenerationSize(std::max<std::size_t>(1, MaxEntries / 2)) {}

  /// Records that \p Engine has used all pieces of \p Chain.
  void touch(std::span<const piece_hash> Chain, engine_epoch Engine,
             instant Now);

  /// Returns the holders of a piece, or an empty span. Invalidated by `touch`.
  std::span<const piece_holder> holders(piece_hash Piece) const;

  /// Returns the number of entries in both generations.
  std::size_t size() const { return Young.size() + Old.size(); }

private:
  using generation = std::unordered_map<piece_hash, piece_holders>;

  std::size_t GenerationSize;
  generation Young;
  generation Old;
};

} // namespace ebonyvale

#endif

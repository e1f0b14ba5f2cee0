/// \file
/// Estimate of the prompt segments that an engine or a cache store holds.
#ifndef EBONYVALE_DECISIONS_PROCESS_CACHED_SEGMENTS_H
#define EBONYVALE_DECISIONS_PROCESS_CACHED_SEGMENTS_H

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace ebonyvale {

/// Models a cache with LRU eviction. Its clock counts inserted tokens: a
/// segment counts as evicted once as many tokens as the cache's capacity have
/// been inserted since its last use. A segment is identified by a chained hash
/// of itself and all segments before it.
class cached_segments {
public:
  /// Segments that are tracked before evicted ones are dropped.
  static constexpr std::size_t MaxSegments = 4000;

  /// Sets the current capacity in tokens. With 0, for an unknown capacity, no
  /// segment counts as cached.
  void setCapacity(double Tokens) { Capacity = Tokens; }

  /// Advances the clock by tokens that any instance inserted.
  void onInserted(double Tokens) { Inserted += Tokens; }

  /// Returns whether the segment is probably still cached.
  bool holds(std::uint64_t Chain) const {
    const auto Found = LastUse.find(Chain);
    return Found != LastUse.end() && isCached(Found->second);
  }

  /// Records that the segment was prefilled, used or copied there.
  void onUsed(std::uint64_t Chain) {
    LastUse[Chain] = Inserted;
    if (LastUse.size() <= MaxSegments)
      return;
    std::erase_if(LastUse, [this](const auto &Segment) {
      return !isCached(Segment.second);
    });
    // All are still cached. Forgetting them costs copies, never correctness.
    if (LastUse.size() > MaxSegments)
      LastUse.clear();
  }

  /// Forgets all segments.
  void clear() { LastUse.clear(); }

private:
  bool isCached(double UsedAt) const { return Inserted - UsedAt < Capacity; }

  double Capacity = 0; ///< in tokens
  double Inserted = 0; ///< tokens since construction
  std::unordered_map<std::uint64_t, double> LastUse;
};

} // namespace ebonyvale

#endif

/// \file
/// Prompt parts that an engine or a store of cached parts is believed to hold.
#ifndef EBONYVALE_DECISIONS_PROCESS_CACHED_PARTS_H
#define EBONYVALE_DECISIONS_PROCESS_CACHED_PARTS_H

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace ebonyvale {

/// Follows a cache whose least recently used parts yield. Its clock counts the
/// tokens that were brought in: a part is gone once as many have come since its
/// last use as the cache has room for. Each part is named by a hash of itself
/// and all parts before it.
class cached_parts {
public:
  /// Parts remembered before those that are gone are dropped.
  static constexpr std::size_t MaxParts = 4000;

  /// Tokens that the cache has room for at present; 0 where unknown, and then
  /// nothing is believed to be held.
  void setRoom(double Tokens) { Room = Tokens; }

  /// Tokens were brought in, by whomever.
  void onInserted(double Tokens) { Inserted += Tokens; }

  bool holds(std::uint64_t Chain) const {
    const auto Found = LastUse.find(Chain);
    return Found != LastUse.end() && isFresh(Found->second);
  }

  /// The part has been read, used or copied there.
  void note(std::uint64_t Chain) {
    LastUse[Chain] = Inserted;
    if (LastUse.size() <= MaxParts)
      return;
    std::erase_if(LastUse,
                  [this](const auto &Part) { return !isFresh(Part.second); });
    // All are fresh: forgetting costs copies, never correctness.
    if (LastUse.size() > MaxParts)
      LastUse.clear();
  }

  void clear() { LastUse.clear(); }

private:
  bool isFresh(double UsedAt) const { return Inserted - UsedAt < Room; }

  double Room = 0;
  double Inserted = 0;
  std::unordered_map<std::uint64_t, double> LastUse;
};

} // namespace ebonyvale

#endif

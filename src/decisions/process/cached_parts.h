/// \file
/// Prompt parts that an engine or a store of cached parts is believed to hold.
#ifndef EBONYVALE_DECISIONS_PROCESS_CACHED_PARTS_H
#define EBONYVALE_DECISIONS_PROCESS_CACHED_PARTS_H

#include "common/instant.h"

#include <cstdint>
#include <unordered_map>

namespace ebonyvale {

/// Each part is named by a hash of itself and all parts before it.
class cached_parts {
public:
  /// \p Term: how long a part is believed to stay without being used.
  /// \p MaxParts: parts remembered before the older half is dropped.
  cached_parts(span_ns Term, std::size_t MaxParts)
      : Term(Term), MaxParts(MaxParts) {}

  bool holds(std::uint64_t Chain, instant Now) const {
    const auto Found = LastUse.find(Chain);
    return Found != LastUse.end() && Now - Found->second < Term;
  }

  /// The part has been read, used or copied there.
  void note(std::uint64_t Chain, instant Now) {
    LastUse[Chain] = Now;
    if (LastUse.size() <= MaxParts)
      return;
    std::erase_if(LastUse, [&](const auto &Part) {
      return Now - Part.second > Term / 2;
    });
    // Everything is young: forgetting costs copies, never correctness.
    if (LastUse.size() > MaxParts)
      LastUse.clear();
  }

  void clear() { LastUse.clear(); }

private:
  span_ns Term;
  std::size_t MaxParts;
  std::unordered_map<std::uint64_t, instant> LastUse;
};

} // namespace ebonyvale

#endif

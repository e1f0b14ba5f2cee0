/// \file
/// One pending question to peers for the origin of a stream.
#ifndef EBONYVALE_DECISIONS_PROCESS_ORIGIN_LOOKUP_H
#define EBONYVALE_DECISIONS_PROCESS_ORIGIN_LOOKUP_H

#include "common/instant.h"
#include "decisions/process/stream_keepers.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// State of a lookup. `Unknown` is final for the lookup only: the peers that
/// know may not have answered. `Uncertain`: the stream has begun at a process
/// that nobody who answered knows.
enum class lookup_state { Pending, Known, Uncertain, Unknown };

/// Asks the first peers, then the others too, and those again that have not
/// answered. The first positive answer counts.
class origin_lookup {
public:
  /// Time after which the peers that have not answered are asked again.
  static constexpr span_ns RepeatAfter = std::chrono::milliseconds(50);
  /// Time after which the origin counts as unknown.
  static constexpr span_ns Timeout = std::chrono::milliseconds(150);

  origin_lookup(lookup_peers Peers, instant Now);

  /// Returns the peers to ask at \p Now. Called at the start, after each answer
  /// and at `nextAt`.
  std::vector<std::string> takeToAsk(instant Now);

  /// Records that \p Peer knows the version \p Software, which may be unknown
  /// (`isUnknownSoftware`), or nothing.
  void onAnswer(std::string_view Peer,
                std::optional<std::string_view> Software);

  lookup_state state(instant Now) const;
  /// Returns the software version, empty unless known.
  const std::string &software() const { return Software; }
  /// Returns the number of peers that have not answered.
  std::size_t unanswered() const { return Pending.size() + Second.size(); }
  /// Returns the next time at which `takeToAsk` or `state` changes without an
  /// answer.
  instant nextAt() const { return std::min(RepeatAt, EndsAt); }

private:
  std::vector<std::string> Pending; ///< asked without an answer, or to be asked
  std::vector<std::string> Second;  ///< not asked yet
  std::string Software;
  bool Started = false; ///< the first peers have been asked
  bool Begun = false;   ///< a record of the stream names no version
  instant RepeatAt;
  instant EndsAt;
};

} // namespace ebonyvale

#endif

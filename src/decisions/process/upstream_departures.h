/// \file
/// Upstreams that have stated in their responses that they leave.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_DEPARTURES_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_DEPARTURES_H

#include "common/instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Identifies one run of an upstream.
struct upstream_process {
  std::string Id;
  std::int64_t Born = 0; ///< start in ms since the Unix epoch; 0 if unknown
  std::string Address;
  std::uint16_t Port = 0;

  bool operator==(const upstream_process &) const = default;
};

/// Remembers the processes that leave. What a process has stated holds until
/// its end, whatever the store lists: an entry may be older than the statement.
/// Another process under the same id or at the same address starts afresh.
class upstream_departures {
public:
  /// How long a process is remembered once it is not listed any more. Until
  /// then it may appear again in an older copy of the store. One whose start is
  /// unknown is remembered for this long only, since nothing tells it from a
  /// later one.
  static constexpr span_ns KeepUnlisted = std::chrono::seconds(60);

  /// Number of rounds of messages in which an instance repeats news to peers,
  /// since a message may be lost.
  static constexpr std::int64_t RepeatRounds = 2;

  /// Number of processes of an id that are remembered from one call of `expire`
  /// to the next: those that were listed, or became known, last.
  static constexpr std::size_t MaxOfId = 8;

  /// Records that \p Process leaves. Returns whether that is news.
  bool add(const upstream_process &Process, instant Now);

  /// Returns whether \p Process leaves.
  bool contains(const upstream_process &Process) const;

  /// Returns the processes that have become known after \p Since.
  std::vector<upstream_process> knownSince(instant Since) const;

  /// Forgets processes that have not been listed for long. \p IsListed tells
  /// whether a process is listed. Returns whether any was forgotten.
  bool expire(const std::function<bool(const upstream_process &)> &IsListed,
              instant Now);

  /// Returns the number of processes that are remembered.
  std::size_t size() const;

private:
  struct departure {
    upstream_process Process;
    instant LearnedAt;
    instant NeededAt; ///< when it was last listed, or became known
  };

  /// By id. Starts give no order: they are stated by clocks that differ and
  /// jump, so that a later process may state an earlier one.
  std::map<std::string, std::vector<departure>, std::less<>> Known;
};

} // namespace ebonyvale

#endif

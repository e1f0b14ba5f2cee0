/// \file
/// Pauses that upstreams ask an instance for when they turn a request away.
#ifndef EBONYVALE_DECISIONS_PROCESS_UPSTREAM_PAUSES_H
#define EBONYVALE_DECISIONS_PROCESS_UPSTREAM_PAUSES_H

#include "common/instant.h"
#include "decisions/process/upstream_directory.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace ebonyvale {

/// Remembers until when upstreams want no request from this instance. A pause
/// binds the instance that was asked for it only, so peers are not told.
/// Another process under the same id or at the same address starts afresh.
class upstream_pauses {
public:
  /// Longest pause that is kept. What asks for a longer one is more likely at
  /// fault than away, and would be lost to the instance.
  static constexpr span_ns MaxPause = std::chrono::minutes(10);

  /// Number of processes of an id that are remembered: those that asked last.
  static constexpr std::size_t MaxOfId = 8;

  /// Records that \p Process has asked at \p Now for no request for \p For. Of
  /// several pauses the one that ends last holds. Returns its end.
  instant onAsked(const upstream_process &Process, span_ns For, instant Now);

  /// Records that \p Next runs in the place of \p Process. Which of them has
  /// asked for a pause is not known, so it holds for both.
  void onReplaced(const upstream_process &Process, const upstream_process &Next,
                  instant Now);

  /// Returns the end of the pause of \p Entry's process; one in the past if
  /// there is none.
  instant endOf(const upstream_entry &Entry) const {
    return endOf(Entry.process());
  }

  /// Forgets pauses that have ended.
  void expire(instant Now);

  /// Returns the number of processes that are remembered.
  std::size_t size() const;

private:
  instant endOf(const upstream_process &Process) const;

  struct pause {
    upstream_process Process;
    instant End;
  };

  /// By id, the one that asked last at the end. Starts give no order: they are
  /// stated by clocks that differ and jump.
  std::map<std::string, std::vector<pause>, std::less<>> Pauses;
};

} // namespace ebonyvale

#endif

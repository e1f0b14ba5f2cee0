/// \file
/// Upstreams whose entry may describe an earlier process.
#ifndef EBONYVALE_DECISIONS_PROCESS_UNCONFIRMED_UPSTREAMS_H
#define EBONYVALE_DECISIONS_PROCESS_UNCONFIRMED_UPSTREAMS_H

#include "common/instant.h"
#include "decisions/process/upstream_directory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonyvale {

/// What the start that a process has stated tells of its upstream's entry.
enum class start_evidence {
  None,
  OtherProcess, ///< the entry is that of another process
  SameProcess,  ///< it was that of the process when that was asked
  Confirmed     ///< the entry is that of the process
};

/// An upstream may start again under its id and address with other software,
/// and its responses do not state which. Its connections end at a restart, so
/// after the loss of one its entry counts only for a moment after the process
/// has stated that it is the one of the entry, or once the list of upstreams
/// has been read when a new process would have been listed.
class unconfirmed_upstreams {
public:
  /// Time from the loss of a connection to the entry of a new process.
  static constexpr span_ns ListingTime = std::chrono::milliseconds(1500);
  /// How long a statement of the process counts: no connection may be open
  /// that would show its end.
  static constexpr span_ns StatementTtl = std::chrono::milliseconds(150);

  /// Records that \p Process has ended a connection, or refused one. Returns
  /// whether it was confirmed before.
  bool onConnectionLost(const upstream_process &Process, instant Now);

  /// Records that the process at the address of \p Listed has stated \p Born,
  /// its start in ms since the Unix epoch (0: it stated none), in response to a
  /// request sent at \p SentAt. \p KeepsConnection tells whether the connection
  /// of the response stays open.
  start_evidence onStarted(const upstream_process &Listed, std::int64_t Born,
                           bool KeepsConnection, instant SentAt);

  /// Returns whether \p Entry describes the process that runs at \p Now.
  /// \p ListedAt is when the list of upstreams was last read.
  bool isConfirmed(const upstream_entry &Entry, std::optional<instant> ListedAt,
                   instant Now) const;

  /// Returns whether \p Entry is confirmed for good, until a connection is
  /// lost.
  bool isListed(const upstream_entry &Entry,
                std::optional<instant> ListedAt) const;

  /// Forgets what a list of upstreams read at \p ListedAt, \p Directory, has
  /// confirmed or replaced.
  void expire(const upstream_directory &Directory, instant ListedAt);

private:
  struct doubt {
    upstream_process Process;
    instant Since;
    /// When the process was asked that has stated its start since.
    std::optional<instant> StatedAt;
    /// When another process was asked that has stated its start.
    std::optional<instant> ReplacedAt;
  };

  doubt *find(const upstream_process &Process);
  const doubt *find(const upstream_process &Process) const;

  std::map<std::string, std::vector<doubt>, std::less<>> Doubts; ///< by id
};

} // namespace ebonyvale

#endif

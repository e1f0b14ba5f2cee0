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
  SameProcess   ///< it was that of the process when that was asked
};

/// An upstream may start again under its id and address with other software,
/// and its responses do not state which. Nothing tells an instance that has no
/// connection to it, so an entry alone proves nothing: a process is known by
/// the start that it states on a connection (`client_connection::serverStart`).
///
/// Upstreams that state no start are taken for the process of their entry until
/// a connection is lost, and again once the list of upstreams has been read
/// when a new process would have been listed.
class unconfirmed_upstreams {
public:
  /// Time from the loss of a connection to the entry of a new process.
  static constexpr span_ns ListingTime = std::chrono::milliseconds(1500);

  /// Records that \p Process has ended a connection, or refused one. Returns
  /// whether its entry was confirmed before.
  bool onConnectionLost(const upstream_process &Process, instant Now);

  /// Records that the process at the address of \p Listed has stated \p Born,
  /// its start in ms since the Unix epoch (0: it stated none), in response to a
  /// request sent at \p SentAt.
  start_evidence onStarted(const upstream_process &Listed, std::int64_t Born,
                           instant SentAt);

  /// Records that \p Process does not state its start when it is asked.
  void onStartless(const upstream_process &Process);

  /// Returns whether the process of \p Entry can be asked for its start.
  bool statesStart(const upstream_entry &Entry) const;

  /// Returns whether another process has answered in the place of that of
  /// \p Entry.
  bool isReplaced(const upstream_entry &Entry) const;

  /// Returns whether no connection has been lost since a new process of
  /// \p Entry would have been listed. \p ListedAt is when the list of upstreams
  /// was last read.
  bool isListed(const upstream_entry &Entry,
                std::optional<instant> ListedAt) const;

  /// Returns whether \p Entry can be that of the running process, as far as
  /// that can be told without asking it.
  bool mayBeCurrent(const upstream_entry &Entry,
                    std::optional<instant> ListedAt) const {
    return statesStart(Entry) ? !isReplaced(Entry) : isListed(Entry, ListedAt);
  }

  /// Forgets what a list of upstreams read at \p ListedAt, \p Directory, has
  /// confirmed or replaced.
  void expire(const upstream_directory &Directory, instant ListedAt);

private:
  struct doubt {
    upstream_process Process;
    instant Since;
    /// When the process was asked that has stated another start.
    std::optional<instant> ReplacedAt;
  };

  doubt *find(const upstream_process &Process);
  const doubt *find(const upstream_process &Process) const;

  std::map<std::string, std::vector<doubt>, std::less<>> Doubts;  ///< by id
  std::map<std::string, upstream_process, std::less<>> Startless; ///< by id
};

} // namespace ebonyvale

#endif

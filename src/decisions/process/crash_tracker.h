/// \file
/// Detects requests that crash the upstreams which run them.
#ifndef EBONYVALE_DECISIONS_PROCESS_CRASH_TRACKER_H
#define EBONYVALE_DECISIONS_PROCESS_CRASH_TRACKER_H

#include "common/instant.h"
#include "decisions/process/prefix_index.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ebonyvale {

/// Hash of a request's team and body. Identical requests share it.
using request_fingerprint = std::uint64_t;

/// Returns the fingerprint of a request. \p Secret seeds the hash, so that
/// callers cannot construct collisions.
request_fingerprint fingerprintOf(std::string_view Secret,
                                  std::string_view Team, std::string_view Body);

/// Whether a request is suspected of crashing upstreams.
enum class suspicion {
  None,
  Suspected,   ///< one process was lost while it ran the request
  Quarantined, ///< two different processes were lost while they ran it
};

/// A process of an upstream that was lost.
struct lost_process {
  engine_id Upstream{};
  /// Start in ms since the Unix epoch; 0 if unknown. Losses of one upstream of
  /// which one has an unknown start count as losses of one process.
  std::int64_t Born = 0;
  /// Whether only the end of the process, found out after the loss, suggests a
  /// crash. Such losses at several processes within `OutageDuration` may have a
  /// common cause that is not the request, and count once.
  bool Inferred = false;
};

/// Options of `crash_tracker`.
struct crash_tracker_options {
  /// Time that a request stays suspected after the last loss.
  span_ns SuspicionDuration = std::chrono::minutes(1);
  /// Duration of the first quarantine; each further one takes twice as long.
  span_ns QuarantineDuration = std::chrono::minutes(1);
  span_ns MaxQuarantineDuration = std::chrono::minutes(10);
  /// See `lost_process::Inferred`.
  span_ns OutageDuration = std::chrono::milliseconds(100);
  /// Largest number of requests that are remembered.
  std::size_t MaxEntries = 10000;
};

/// Records which requests were running on an upstream when it was lost.
///
/// The owner must not run two suspected requests on one upstream at a time.
/// Then a single loss raises at most one request from suspected to quarantined,
/// and requests that only ran beside the one at fault are not quarantined.
class crash_tracker {
public:
  explicit crash_tracker(crash_tracker_options Options) : Options(Options) {}

  /// Records that \p Process was lost while it ran \p Request. Returns the new
  /// state of the request. Repeated losses of one process count once. After a
  /// quarantine one further loss is enough for the next one.
  suspicion onLost(request_fingerprint Request, lost_process Process,
                   instant Now);

  /// Clears \p Request, which ran to a response without a crash. Returns
  /// whether losses of it were remembered.
  bool onCompleted(request_fingerprint Request) {
    return Entries.erase(Request) > 0;
  }

  /// Quarantines \p Request after a peer reported that it did so.
  void onPeerQuarantine(request_fingerprint Request, instant Now);

  /// Returns the state of \p Request and drops its entry if it has expired.
  suspicion check(request_fingerprint Request, instant Now);

  /// Returns the number of requests that are remembered.
  std::size_t size() const { return Entries.size(); }

private:
  struct counted_loss {
    lost_process Process;
    instant At;
  };
  struct entry {
    /// The first two, or the last one if there has been a quarantine.
    std::vector<counted_loss> Lost;
    unsigned Quarantines = 0;
    instant QuarantinedUntil;
    instant ExpiresAt;
  };

  /// Returns whether the loss of \p Process counts.
  bool addLoss(entry &Entry, lost_process Process, instant Now) const;
  void quarantine(entry &Entry, instant Now) const;

  /// Drops expired entries if there are `MaxEntries` or more, and if that is
  /// not enough the ones that expire first.
  void makeRoom(instant Now);

  crash_tracker_options Options;
  std::unordered_map<request_fingerprint, entry> Entries;
};

} // namespace ebonyvale

#endif

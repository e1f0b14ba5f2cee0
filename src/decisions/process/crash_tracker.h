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
  Suspected,   ///< one upstream was lost while it ran the request
  Quarantined, ///< two different upstreams were lost while they ran it
};

/// Options of `crash_tracker`.
struct crash_tracker_options {
  /// Time that a request stays suspected after the last loss.
  span_ns SuspicionDuration = std::chrono::minutes(1);
  /// Time that a request stays quarantined after the last loss or report.
  span_ns QuarantineDuration = std::chrono::minutes(10);
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

  /// Records that \p Engine was lost while it ran \p Request. Returns the new
  /// state of the request. Repeated losses of one engine count once.
  suspicion onLost(request_fingerprint Request, engine_id Engine, instant Now);

  /// Clears \p Request, which ran to a response without a crash.
  void onCompleted(request_fingerprint Request) { Entries.erase(Request); }

  /// Quarantines \p Request after a peer reported that it did so.
  void onPeerQuarantine(request_fingerprint Request, instant Now);

  /// Returns the state of \p Request and drops its entry if it has expired.
  suspicion check(request_fingerprint Request, instant Now);

  /// Returns the number of requests that are remembered.
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    std::vector<engine_id> LostEngines;
    bool Quarantined = false;
    instant ExpiresAt;
  };

  /// Drops expired entries if there are `MaxEntries` or more, and if that is
  /// not enough the ones that expire first.
  void makeRoom(instant Now);

  crash_tracker_options Options;
  std::unordered_map<request_fingerprint, entry> Entries;
};

} // namespace ebonyvale

#endif

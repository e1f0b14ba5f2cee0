/// \file
/// Archive of refusals in the platform's store, keyed by minute and instance.
#ifndef EBONYVALE_DAEMON_PROCESS_REFUSAL_ARCHIVE_H
#define EBONYVALE_DAEMON_PROCESS_REFUSAL_ARCHIVE_H

#include "daemon/connection/peer_message.h"
#include "daemon/process/platform_store.h"
#include "daemon/process/router_core.h"

#include <functional>
#include <string>
#include <vector>

namespace ebonyvale {

/// Writes new refusals to the store in batches, every 30 seconds. Refusals of a
/// failed write stay queued and are written with the next batch.
class refusal_archive {
public:
  using query_callback = std::function<void(const result<refusal_list> &)>;

  refusal_archive(router_core &Core, platform_store &Store);

  /// Starts the periodic writes and the deletion of expired refusals.
  void start();

  /// Queues \p Refusal for the next write. Drops it if the queue is full.
  void add(const refusal &Refusal);

  /// Starts to write the queued refusals, unless a write is in flight. Also
  /// called while the process stops.
  void flush();

  /// Returns whether all refusals have been written.
  bool allWritten() const { return Unwritten.empty() && !WriteInFlight; }

  /// Reads the matching refusals of all instances. Fails with
  /// `PlatformUnavailable` when the store does not respond.
  void query(const refusal_query &Query, query_callback Done);

private:
  std::string batchKey(wall_ms Minute) const;
  void dropExpired();

  router_core &Core;
  platform_store &Store;
  std::vector<refusal> Unwritten;
  bool WriteInFlight = false;
  std::uint64_t Sequence = 0;
  timer WriteTimer;
  timer RetentionTimer;
};

} // namespace ebonyvale

#endif

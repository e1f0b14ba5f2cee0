/// \file
/// Refusals in the platform's store, under minute and instance.
#ifndef EBONYVALE_DAEMON_PROCESS_REFUSAL_ARCHIVE_H
#define EBONYVALE_DAEMON_PROCESS_REFUSAL_ARCHIVE_H

#include "daemon/connection/peer_message.h"
#include "daemon/process/platform_store.h"
#include "daemon/process/router_core.h"

#include <functional>
#include <string>
#include <vector>

namespace ebonyvale {

/// Writes what was recorded since the last time, two writes a minute. A write
/// that fails is repeated with what has come since.
class refusal_archive {
public:
  using query_callback = std::function<void(const result<refusal_list> &)>;

  refusal_archive(router_core &Core, platform_store &Store);

  void start();

  /// Takes a refusal into the next write.
  void add(const refusal &Refusal);

  /// Writes now; also called when the process stops.
  void flush();

  /// Whether everything has been written.
  bool clean() const { return Unwritten.empty() && !Writing; }

  /// Reads what all instances have written; `PlatformUnavailable` when the
  /// store does not answer.
  void query(const refusal_query &Query, query_callback Done);

private:
  std::string keyOf(wall_ms Minute) const;
  void dropExpired();

  router_core &Core;
  platform_store &Store;
  std::vector<refusal> Unwritten;
  bool Writing = false;
  std::uint64_t Sequence = 0;
  timer WriteTimer;
  timer RetentionTimer;
};

} // namespace ebonyvale

#endif

/// \file
/// Writes refusals to the platform's store, where they can be queried by team
/// and time after the instance that refused is gone.
#ifndef EBONYVALE_GATEWAY_PROCESS_REFUSAL_WRITER_H
#define EBONYVALE_GATEWAY_PROCESS_REFUSAL_WRITER_H

#include "decisions/process/refusal_aggregator.h"
#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace ebonyvale {

/// Writes batches of refusals to a ring of items under the instance's name. A
/// new process continues after the newest item of its predecessor.
class refusal_writer {
public:
  /// Items in the ring of an instance; the oldest is overwritten.
  static constexpr std::size_t Slots = 8;

  refusal_writer(gateway_core &Core, fleet_store &Store);

  /// Starts the periodic writes.
  void start();

  /// Stops the periodic writes and writes what is pending.
  void stop();

  /// Receives matching rows, oldest first, and the outcome of the read.
  using rows_callback = std::function<void(
      const std::vector<nlohmann::json> &Rows, store_status Status)>;

  /// Reads the refusals of all instances that match \p Query.
  void query(const refusal_query &Query, rows_callback Done);

private:
  void onTimer();

  /// Reads where the ring continues, then writes.
  void findSlot();

  /// Writes the pending batch unless a call is in flight. A batch is written to
  /// the same item until acknowledged, so a lost response duplicates nothing.
  void write();

  gateway_core &Core;
  fleet_store &Store;
  std::string Prefix;                  ///< of the instance's items
  std::optional<std::size_t> NextSlot; ///< unknown until the ring was read
  std::string Pending; ///< batch whose write is not acknowledged yet
  bool CallInFlight = false;
  bool Stopping = false;
  timer WriteTimer;
};

} // namespace ebonyvale

#endif

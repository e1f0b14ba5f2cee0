/// \file
/// Keeps refusals in the platform's store, so that they are found by team and
/// instant after the instance that gave them is gone.
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

/// Writes batches into a ring of items under the instance's name. A process
/// goes on behind the newest item that one before it left.
class refusal_writer {
public:
  /// Items of an instance's ring; the oldest is written over.
  static constexpr std::size_t Slots = 8;

  refusal_writer(gateway_core &Core, fleet_store &Store);

  void start();

  /// Writes what there is at once; for a planned stop.
  void leave();

  /// Rows of all instances that \p Query asks for, oldest first, and how the
  /// store answered.
  using rows_callback = std::function<void(
      const std::vector<nlohmann::json> &Rows, store_status Status)>;
  void query(const refusal_query &Query, rows_callback Done);

private:
  void onTimer();
  void findSlot();
  void write();

  gateway_core &Core;
  fleet_store &Store;
  std::string Prefix; ///< of the instance's items
  std::optional<std::size_t> NextSlot;
  std::string Pending; ///< a batch whose write is not acknowledged
  bool Calling = false;
  timer WriteTimer;
};

} // namespace ebonyvale

#endif

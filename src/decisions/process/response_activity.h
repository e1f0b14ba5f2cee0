/// \file
/// When the process that sends a response was last known to run.
#ifndef EBONYVALE_DECISIONS_PROCESS_RESPONSE_ACTIVITY_H
#define EBONYVALE_DECISIONS_PROCESS_RESPONSE_ACTIVITY_H

#include "common/instant.h"

#include <cstddef>
#include <optional>

namespace ebonyvale {

/// Follows one response. Its process runs when the request is sent, and when
/// bytes arrive that others follow much later. The last bytes prove nothing: a
/// path that was cut may have held them up until after the end of their sender.
class response_activity {
public:
  /// Shortest time between bytes that are not sent at once: packets may be
  /// lost, and the loop may run late.
  static constexpr span_ns MinGap = std::chrono::milliseconds(500);
  /// Bytes that a system sends without waiting for the receiver. Beyond them,
  /// it may still send what a process has left that has ended.
  static constexpr std::size_t MaxUnacknowledged = 14 * 1024;

  void onSent(instant Now) {
    *this = {};
    AliveAt = Now;
  }
  void onBytes(std::size_t Count, instant Now);
  /// Reading is paused, so that bytes wait in the system's buffers.
  void onPaused() { ArrivesAtOnce = false; }

  /// Returns a time at which the process was running.
  instant aliveAt() const { return AliveAt; }

private:
  instant AliveAt;
  std::optional<instant> ArrivedAt; ///< arrival that later bytes may confirm
  std::size_t Bytes = 0;
  bool ArrivesAtOnce = true;
};

} // namespace ebonyvale

#endif

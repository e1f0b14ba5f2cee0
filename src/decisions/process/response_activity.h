/// \file
/// When the process that sends a response was last known to run.
#ifndef EBONYVALE_DECISIONS_PROCESS_RESPONSE_ACTIVITY_H
#define EBONYVALE_DECISIONS_PROCESS_RESPONSE_ACTIVITY_H

#include "common/instant.h"

#include <cstddef>

namespace ebonyvale {

/// Follows one response. Its process runs when the request is sent, and shortly
/// before bytes arrive, unless a system may have had them in its buffers.
class response_activity {
public:
  /// Longest time from sending bytes to reading them: packets may be lost once,
  /// and the loop may run late.
  static constexpr span_ns MaxTransit = std::chrono::milliseconds(500);
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
  std::size_t Bytes = 0;
  bool ArrivesAtOnce = true;
};

} // namespace ebonyvale

#endif

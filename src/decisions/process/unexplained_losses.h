/// \file
/// Lost responses of which it is not known at once whether their upstreams have
/// ended with them.
#ifndef EBONYVALE_DECISIONS_PROCESS_UNEXPLAINED_LOSSES_H
#define EBONYVALE_DECISIONS_PROCESS_UNEXPLAINED_LOSSES_H

#include "common/instant.h"
#include "decisions/process/crash_tracker.h"
#include "decisions/process/segment_quarantine.h"
#include "decisions/process/upstream_departures.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ebonyvale {

/// Longest time after which the close of an idle connection arrives that the
/// upstream had sent before it received the request; above a round trip.
inline constexpr span_ns IdleCloseTime = std::chrono::milliseconds(100);

/// Returns whether a connection that was lost \p After the request was sent may
/// have been closed because it was idle. \p Reused tells whether it was used
/// before, \p HeadReceived whether a response had begun.
constexpr bool mayBeIdleClose(bool Reused, bool HeadReceived, span_ns After) {
  return Reused && !HeadReceived && After < IdleCloseTime;
}

/// A loss for which `mayBeIdleClose` holds, or of a request that a peer has
/// passed on.
struct unexplained_loss {
  /// Nothing if the request was passed on for a peer, which knows it.
  std::optional<request_fingerprint> Request;
  upstream_process Process;
  std::vector<segment_id> Segments; ///< of the request's prompt
  /// Nothing if a part of the response had arrived.
  std::optional<loss_stage> Stage;
  instant At;
  lost_process Lost; ///< `Process` as the crash tracker has it
};

/// Holds losses until it is known whether their processes have ended.
class unexplained_losses {
public:
  /// A process that is seen to be gone later has not ended with the loss.
  static constexpr span_ns KeepFor = std::chrono::seconds(10);
  static constexpr std::size_t MaxLosses = 1024;

  /// Adds a loss and returns its number, which is above all earlier ones. The
  /// oldest is dropped if there are `MaxLosses`.
  std::uint64_t add(unexplained_loss Loss);

  /// Removes the loss \p Number and returns it; nothing if it was dropped.
  std::optional<unexplained_loss> take(std::uint64_t Number);

  /// Removes and returns the losses of this instance's requests at \p Process.
  std::vector<unexplained_loss> takeOf(const lost_process &Process);

  /// Drops the losses of \p Request, which has run to a complete response.
  void onCompleted(request_fingerprint Request);

  /// Drops losses that are too old.
  void expire(instant Now);

  /// Returns whether the loss \p Number is held.
  bool contains(std::uint64_t Number) const { return Losses.contains(Number); }
  std::size_t size() const { return Losses.size(); }

private:
  std::map<std::uint64_t, unexplained_loss> Losses; ///< by number
  std::uint64_t LastNumber = 0;
};

} // namespace ebonyvale

#endif

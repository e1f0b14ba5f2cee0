/// \file
/// Limits the time of a response by its progress.
#ifndef EBONYVALE_NET_TRANSFER_DEADLINE_H
#define EBONYVALE_NET_TRANSFER_DEADLINE_H

#include "common/instant.h"
#include "net/timer.h"

#include <functional>

namespace ebonyvale {

/// Calls a function when a response is silent for too long. Its size does not
/// count: on a slow link a large response takes longer, and giving it up would
/// waste what has arrived.
class transfer_deadline {
public:
  /// Longest time from the first byte of a response to its end.
  static constexpr span_ns MaxTransferTime = std::chrono::seconds(10);

  transfer_deadline(event_base *Base, std::function<void()> Expired)
      : Expiry(Base, std::move(Expired)) {}

  /// Allows \p FirstByte until the response begins, and \p Silence between its
  /// bytes.
  void start(span_ns FirstByte, span_ns Silence);
  /// Records that bytes of the response have arrived at \p Now.
  void onProgress(instant Now);
  void stop() { Expiry.stop(); }

private:
  timer Expiry;
  span_ns Silence{0};
  instant End; ///< of the transfer; unset before the first byte
};

} // namespace ebonyvale

#endif

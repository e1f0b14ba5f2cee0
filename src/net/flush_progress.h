/// \file
/// Decides how long a connection that is to be closed is kept open.
#ifndef EBONYVALE_NET_FLUSH_PROGRESS_H
#define EBONYVALE_NET_FLUSH_PROGRESS_H

#include "common/instant.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace ebonyvale {

/// Times of a connection that is to be closed.
struct flush_times {
  /// Time after which a client that takes no byte is given up.
  span_ns Stall{0};
  /// Time that the client has to close after it has taken the last byte.
  span_ns Linger{0};
  /// Time after which a client is given up that has not taken all, however
  /// steadily it takes; 0: none.
  span_ns Limit{0};
};

/// Follows the bytes that a client has not taken yet. The time to close counts
/// from the last byte that was taken, up to a limit.
class flush_progress {
public:
  flush_progress(flush_times Times, std::size_t BytesLeft, instant Now)
      : Times(Times), BytesLeft(BytesLeft), StartedAt(Now), ProgressAt(Now) {}

  /// Records that \p Left bytes are left. Returns the time after which the
  /// connection must be closed if nothing is taken until then, or nothing if
  /// that time is over.
  std::optional<span_ns> update(std::size_t Left, instant Now) {
    if (Left < BytesLeft) {
      BytesLeft = Left;
      ProgressAt = Now;
    }
    instant End = ProgressAt + (Left == 0 ? Times.Linger : Times.Stall);
    if (Left > 0 && Times.Limit > span_ns(0))
      End = std::min(End, StartedAt + Times.Limit);
    if (Now >= End)
      return std::nullopt;
    return End - Now;
  }

private:
  flush_times Times;
  std::size_t BytesLeft;
  instant StartedAt;
  instant ProgressAt;
};

} // namespace ebonyvale

#endif

/// \file
/// The time that connections may be idle, which may change at run time.
#ifndef EBONYVALE_NET_IDLE_LIMIT_H
#define EBONYVALE_NET_IDLE_LIMIT_H

#include "common/instant.h"

#include <algorithm>
#include <optional>

namespace ebonyvale {

/// Decides when idle connections are closed. After the limit became shorter,
/// the longer one holds for the time in which clients learn of the change.
class idle_limit {
public:
  explicit idle_limit(span_ns Timeout) : Timeout(Timeout) {}

  /// Changes the limit to \p Value. Clients may use the one before until
  /// \p Notice is over.
  void set(span_ns Value, span_ns Notice, instant Now) {
    if (Value == Timeout)
      return;
    Before = Now < BeforeEnd ? std::max(Before, Timeout) : Timeout;
    BeforeEnd = Now + Notice;
    Timeout = Value;
  }

  /// Returns the longest time for which a connection that has been idle since
  /// \p IdleSince stays open if nothing changes, or nothing if it must be
  /// closed.
  std::optional<span_ns> timeLeft(instant IdleSince, instant Now) const {
    const instant End =
        std::max(IdleSince + Timeout, std::min(IdleSince + Before, BeforeEnd));
    if (Now >= End)
      return std::nullopt;
    return End - Now;
  }

private:
  span_ns Timeout;
  span_ns Before{0};
  instant BeforeEnd{};
};

} // namespace ebonyvale

#endif

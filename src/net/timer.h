/// \file
/// Timers and clock readings of an event loop.
#ifndef EBONYVALE_NET_TIMER_H
#define EBONYVALE_NET_TIMER_H

#include "common/instant.h"
#include "net/event_handles.h"

#include <functional>

namespace ebonyvale {

/// Reads the monotonic and the civil clock; for the I/O side only.
present readClock();

/// Reads a monotonic clock that also counts the time in which the machine was
/// suspended (CLOCK_BOOTTIME); ages of evidence and leases need it.
instant readBootClock();

/// Calls a function on an event loop, once or periodically. Stops when it is
/// destroyed.
class timer {
public:
  timer(event_base *Base, std::function<void()> Callback);
  timer(const timer &) = delete;
  timer &operator=(const timer &) = delete;

  /// Calls back once after \p Delay, replacing an earlier arrangement.
  void startOnce(span_ns Delay);

  /// Calls back every \p Interval until `stop`.
  void startPeriodic(span_ns Interval);

  /// Cancels the arrangement, if there is one.
  void stop();

private:
  static void onTimeout(evutil_socket_t, short, void *Self);
  void arm(span_ns Delay);

  std::function<void()> Callback;
  span_ns Interval{0}; ///< zero for a timer that fires once
  event_ptr Event;
};

/// Calls \p Callback from the loop once after \p Delay.
void callAfter(event_base *Base, span_ns Delay, std::function<void()> Callback);

/// Calls \p Callback from the loop after the present event has been handled.
void callLater(event_base *Base, std::function<void()> Callback);

} // namespace ebonyvale

#endif

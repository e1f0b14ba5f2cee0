/// \file
/// Timers on an event loop and functions that read clocks.
#ifndef EBONYVALE_NET_TIMER_H
#define EBONYVALE_NET_TIMER_H

#include "common/instant.h"
#include "net/event_handles.h"

#include <functional>

namespace ebonyvale {

/// Reads the monotonic and the wall clock. Must not be used in decision code.
clock_reading readClock();

/// Reads CLOCK_BOOTTIME, a monotonic clock that includes the time during which
/// the machine was suspended. Used for the freshness of the configuration and
/// for leases, which age during a suspend.
instant readBootClock();

/// Calls a function from an event loop, once or periodically, until it is
/// stopped or destroyed.
class timer {
public:
  timer(event_base *Base, std::function<void()> Callback);
  timer(const timer &) = delete;
  timer &operator=(const timer &) = delete;

  /// Calls the function once after \p Delay. Replaces an earlier start.
  void startOnce(span_ns Delay);

  /// Calls the function every \p Interval. Replaces an earlier start.
  void startPeriodic(span_ns Interval);

  /// Stops the timer if it is running.
  void stop();

private:
  static void onTimeout(evutil_socket_t, short, void *Self);
  void arm(span_ns Delay);

  std::function<void()> Callback;
  span_ns Interval{0}; ///< zero for a timer that fires once
  event_ptr Event;
};

/// Calls \p Callback once from the event loop after \p Delay.
void callAfter(event_base *Base, span_ns Delay, std::function<void()> Callback);

/// Calls \p Callback from the event loop after the current event.
void callLater(event_base *Base, std::function<void()> Callback);

} // namespace ebonyvale

#endif

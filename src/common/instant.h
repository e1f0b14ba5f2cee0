/// \file
/// Time types shared by the decision code and the I/O code.
#ifndef EBONYVALE_COMMON_INSTANT_H
#define EBONYVALE_COMMON_INSTANT_H

#include <chrono>
#include <cstdint>

namespace ebonyvale {

/// A clock type without `now()`: decision code gets the current time as an
/// argument and cannot read a clock. Counts nanoseconds of the process's
/// monotonic clock.
struct decision_clock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<decision_clock>;
  static constexpr bool is_steady = true; // NOLINT: name set by the standard
};

/// A time on the process's monotonic clock; not comparable between processes.
using instant = decision_clock::time_point;

/// A duration in nanoseconds.
using span_ns = std::chrono::nanoseconds;

/// Wall-clock time in milliseconds since the Unix epoch, for records that are
/// shown to users or read by other instances.
using wall_ms = std::chrono::sys_time<std::chrono::milliseconds>;

/// The current time on the monotonic and the wall clock. I/O code reads it once
/// per event.
struct clock_reading {
  instant Now;
  wall_ms Wall;
};

/// Converts a duration to seconds.
inline double toSeconds(span_ns Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Converts seconds to a duration, rounding towards zero.
inline span_ns fromSeconds(double Seconds) {
  constexpr double NanosPerSecond = 1e9;
  return span_ns(static_cast<std::int64_t>(Seconds * NanosPerSecond));
}

/// Converts a duration to milliseconds.
inline double toMs(span_ns Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// Converts milliseconds to a duration, rounding towards zero.
inline span_ns fromMs(double Millis) {
  constexpr double NanosPerMs = 1e6;
  return span_ns(static_cast<std::int64_t>(Millis * NanosPerMs));
}

} // namespace ebonyvale

#endif

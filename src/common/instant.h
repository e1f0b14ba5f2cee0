/// \file
/// Points and spans of time as the decisions see them.
#ifndef EBONYVALE_COMMON_INSTANT_H
#define EBONYVALE_COMMON_INSTANT_H

#include <chrono>
#include <cstdint>

namespace ebonyvale {

/// A clock without `now()`: decisions are handed the present time and cannot
/// read it. Values count nanoseconds on the owner's monotonic clock.
struct decision_clock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<decision_clock>;
  static constexpr bool is_steady = true; // NOLINT: name set by the standard
};

/// A point on the owner's monotonic clock; not comparable between processes.
using instant = decision_clock::time_point;

/// A span of time in nanoseconds.
using span_ns = std::chrono::nanoseconds;

/// Civil time in milliseconds since the Unix epoch, for records that people
/// and other instances read.
using wall_ms = std::chrono::sys_time<std::chrono::milliseconds>;

/// The present on both time lines, read once per event by the I/O side.
struct present {
  instant Now;
  wall_ms Wall;
};

/// Converts a span to seconds.
inline double toSeconds(span_ns Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Converts seconds to a span, rounding towards zero.
inline span_ns fromSeconds(double Seconds) {
  constexpr double NanosPerSecond = 1e9;
  return span_ns(static_cast<std::int64_t>(Seconds * NanosPerSecond));
}

/// Converts a span to milliseconds.
inline double toMs(span_ns Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// Converts milliseconds to a span, rounding towards zero.
inline span_ns fromMs(double Millis) {
  constexpr double NanosPerMs = 1e6;
  return span_ns(static_cast<std::int64_t>(Millis * NanosPerMs));
}

} // namespace ebonyvale

#endif

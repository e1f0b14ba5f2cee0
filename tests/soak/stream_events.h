/// \file
/// Reads the events of a fake upstream's stream as a caller received them.
#ifndef EBONYVALE_TESTS_SOAK_STREAM_EVENTS_H
#define EBONYVALE_TESTS_SOAK_STREAM_EVENTS_H

#include <set>
#include <string>
#include <string_view>

namespace ebonyvale {

/// What a body of events holds.
struct stream_events {
  int Last = 0;          ///< number of the last whole event
  bool InOrder = true;   ///< none missing, repeated or altered
  bool EndsWhole = true; ///< does not end within an event
  /// What wrote the whole events: a version of the software, or a process.
  std::set<std::string> Writers;
  /// Versions of the software of these processes, as far as events state them.
  std::set<std::string> Software;
};

/// Reads \p Body, a stream that begins after the event \p After.
stream_events readEvents(std::string_view Body, int After);

} // namespace ebonyvale

#endif

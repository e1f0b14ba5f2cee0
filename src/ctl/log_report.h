/// \file
/// Reports on the merged log of several instances.
#ifndef EBONYVALE_CTL_LOG_REPORT_H
#define EBONYVALE_CTL_LOG_REPORT_H

#include "ctl/merged_log.h"

#include <optional>
#include <ostream>
#include <span>

namespace ebonyvale {

/// A range of wall-clock time; both ends belong to it.
struct time_range {
  wall_ms From = wall_ms::min();
  wall_ms To = wall_ms::max();

  bool contains(wall_ms At) const { return From <= At && At <= To; }
};

/// Prints all lines of the request \p Id, together with state changes of the
/// instances that handled it and of the upstreams that it was sent to. Returns
/// false if no line belongs to the request.
bool reportRequest(const merged_log &Log, std::string_view Id,
                   std::ostream &Out);

/// Prints the state changes within \p Range and the number of request events by
/// name.
void reportChanges(const merged_log &Log, const time_range &Range,
                   std::ostream &Out);

/// Prints the state of each instance at \p At by its log: configuration
/// version, weights claim, connection to the store and the number of instances
/// that the limits are divided by. Adds the last weights order of each
/// upstream.
void reportState(const merged_log &Log, wall_ms At, std::ostream &Out);

/// Prints request outcomes and latencies by intervals of length \p Interval,
/// then by instance.
void reportTable(const merged_log &Log, const time_range &Range,
                 std::chrono::milliseconds Interval, std::ostream &Out);

} // namespace ebonyvale

#endif

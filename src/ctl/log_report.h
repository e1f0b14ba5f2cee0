/// \file
/// What log lines of many instances say about a request, an instant or a day.
#ifndef EBONYVALE_CTL_LOG_REPORT_H
#define EBONYVALE_CTL_LOG_REPORT_H

#include "ctl/log_book.h"

#include <optional>
#include <ostream>
#include <span>

namespace ebonyvale {

/// Part of a day.
struct log_span {
  wall_ms From = wall_ms::min();
  wall_ms To = wall_ms::max();

  bool holds(wall_ms At) const { return From <= At && At <= To; }
};

/// Prints all lines about the request \p Id, and with them what its instances
/// believed meanwhile and what happened to the upstreams it was sent to. False
/// when no line is about it.
bool reportRequest(const log_book &Book, std::string_view Id,
                   std::ostream &Out);

/// Prints every line of \p Span that changes a belief, and counts the others.
void reportChanges(const log_book &Book, const log_span &Span,
                   std::ostream &Out);

/// Prints what each instance last said by \p At: version, claim on the weights,
/// reach of the store, how limits were divided.
void reportHolders(const log_book &Book, wall_ms At, std::ostream &Out);

/// Prints outcomes by intervals of \p Interval, then by instance.
void reportTable(const log_book &Book, const log_span &Span,
                 std::chrono::milliseconds Interval, std::ostream &Out);

} // namespace ebonyvale

#endif

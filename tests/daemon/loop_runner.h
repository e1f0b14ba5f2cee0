/// \file
/// Runs an event loop until a condition holds or for a fixed time.
#ifndef EBONYVALE_TESTS_DAEMON_LOOP_RUNNER_H
#define EBONYVALE_TESTS_DAEMON_LOOP_RUNNER_H

#include "common/instant.h"
#include "net/event_handles.h"

#include <functional>

namespace ebonyvale {

/// Runs \p Base until \p Done returns true. Returns false if that takes more
/// than 20 s of real time.
bool runLoopUntil(event_base *Base, const std::function<bool()> &Done);

/// Runs \p Base for \p Delay.
void runLoopFor(event_base *Base, span_ns Delay);

} // namespace ebonyvale

#endif

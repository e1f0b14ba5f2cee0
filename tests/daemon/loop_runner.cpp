#include "daemon/loop_runner.h"

#include "net/timer.h"

namespace ebonyvale {
namespace {

/// Real time after which a wait counts as hung.
constexpr span_ns HangTimeout = std::chrono::seconds(20);

} // namespace

bool runLoopUntil(event_base *Base, const std::function<bool()> &Done) {
  const instant Deadline = readClock().Now + HangTimeout;
  timer Wake(Base, [] {});
  while (!Done()) {
    if (readClock().Now > Deadline)
      return false;
    Wake.startOnce(std::chrono::milliseconds(1));
    event_base_loop(Base, EVLOOP_ONCE);
  }
  return true;
}

void runLoopFor(event_base *Base, span_ns Delay) {
  const instant End = readClock().Now + Delay;
  runLoopUntil(Base, [End] { return readClock().Now >= End; });
}

} // namespace ebonyvale

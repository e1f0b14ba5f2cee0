#include "daemon/loop_runner.h"

#include "net/timer.h"

namespace ebonyvale {
namespace {

/// Longest real time that a test waits for anything before it fails.
constexpr span_ns HangBound = std::chrono::seconds(20);

} // namespace

bool runLoopUntil(event_base *Base, const std::function<bool()> &Done) {
  const instant Bound = readClock().Now + HangBound;
  timer Wake(Base, [] {});
  while (!Done()) {
    if (readClock().Now > Bound)
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

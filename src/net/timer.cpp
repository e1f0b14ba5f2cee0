#include "net/timer.h"

#include <ctime>
#include <memory>

namespace ebonyvale {
namespace {

timeval toTimeval(span_ns Span) {
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Span);
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  timeval Value{};
  Value.tv_sec = Micros.count() / MicrosPerSecond;
  Value.tv_usec = Micros.count() % MicrosPerSecond;
  return Value;
}

void runOnce(evutil_socket_t, short, void *Argument) {
  const std::unique_ptr<std::function<void()>> Callback(
      static_cast<std::function<void()> *>(Argument));
  (*Callback)();
}

} // namespace

clock_reading readClock() {
  const auto Steady = std::chrono::steady_clock::now().time_since_epoch();
  const auto System = std::chrono::system_clock::now();
  return {instant(std::chrono::duration_cast<span_ns>(Steady)),
          std::chrono::floor<std::chrono::milliseconds>(System)};
}

instant readBootClock() {
  timespec Value{};
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return instant(std::chrono::seconds(Value.tv_sec) +
                 std::chrono::nanoseconds(Value.tv_nsec));
}

timer::timer(event_base *Base, std::function<void()> Callback)
    : Callback(std::move(Callback)),
      Event(event_new(Base, -1, 0, &timer::onTimeout, this)) {}

void timer::startOnce(span_ns Delay) {
  Interval = span_ns(0);
  arm(Delay);
}

void timer::startPeriodic(span_ns Period) {
  Interval = Period;
  arm(Period);
}

void timer::stop() { event_del(Event.get()); }

void timer::onTimeout(evutil_socket_t, short, void *Self) {
  auto *Timer = static_cast<timer *>(Self);
  if (Timer->Interval.count() > 0)
    Timer->arm(Timer->Interval);
  // Copied and called last, since the callback may destroy the timer.
  const std::function<void()> Callback = Timer->Callback;
  Callback();
}

void timer::arm(span_ns Delay) {
  const timeval Value = toTimeval(std::max(Delay, span_ns(0)));
  event_add(Event.get(), &Value);
}

void callAfter(event_base *Base, span_ns Delay,
               std::function<void()> Callback) {
  auto Owned = std::make_unique<std::function<void()>>(std::move(Callback));
  const timeval Value = toTimeval(Delay);
  if (event_base_once(Base, -1, EV_TIMEOUT, &runOnce, Owned.get(), &Value) == 0)
    Owned.release(); // NOLINT: runOnce deletes it
}

void callLater(event_base *Base, std::function<void()> Callback) {
  callAfter(Base, span_ns(0), std::move(Callback));
}

} // namespace ebonyvale

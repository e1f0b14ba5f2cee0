/// \file
/// Event loop on virtual time, for simulations.
#ifndef EBONYVALE_LOAD_VIRTUAL_LOOP_H
#define EBONYVALE_LOAD_VIRTUAL_LOOP_H

#include "common/instant.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace ebonyvale {

/// Runs callbacks in the order of their times. Its clock jumps to the time of
/// the next callback, so a run does not depend on real time.
class virtual_loop {
public:
  /// Returns the current virtual time.
  instant now() const { return Now; }

  /// Schedules \p Callback at \p At, or now if that has passed. Callbacks of
  /// the same time run in the order in which they were scheduled.
  void callAt(instant At, std::function<void()> Callback) {
    Entries.push({At < Now ? Now : At, ++LastNumber, std::move(Callback)});
  }

  /// Schedules \p Callback after \p Delay.
  void callAfter(span_ns Delay, std::function<void()> Callback) {
    callAt(Now + Delay, std::move(Callback));
  }

  /// Runs all callbacks up to and including \p End, then sets the clock to
  /// \p End.
  void runUntil(instant End) {
    while (!Entries.empty() && Entries.top().At <= End) {
      const entry Next = Entries.top();
      Entries.pop();
      Now = Next.At;
      Next.Callback();
    }
    Now = End;
  }

private:
  struct entry {
    instant At;
    std::uint64_t Number;
    std::function<void()> Callback;
    bool operator<(const entry &Other) const {
      return At != Other.At ? At > Other.At : Number > Other.Number;
    }
  };

  instant Now;
  std::uint64_t LastNumber = 0;
  std::priority_queue<entry> Entries;
};

} // namespace ebonyvale

#endif

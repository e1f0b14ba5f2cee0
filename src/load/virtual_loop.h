/// \file
/// Runs callbacks in the order of virtual time.
#ifndef EBONYVALE_LOAD_VIRTUAL_LOOP_H
#define EBONYVALE_LOAD_VIRTUAL_LOOP_H

#include "common/instant.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace ebonyvale {

/// An event loop without a clock.
class virtual_loop {
public:
  instant now() const { return Now; }

  /// Calls \p Callback at \p At, after everything that was arranged for the
  /// same instant before it.
  void callAt(instant At, std::function<void()> Callback) {
    Entries.push({At < Now ? Now : At, ++LastNumber, std::move(Callback)});
  }

  void callAfter(span_ns Delay, std::function<void()> Callback) {
    callAt(Now + Delay, std::move(Callback));
  }

  /// Runs until \p End or until nothing is left.
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

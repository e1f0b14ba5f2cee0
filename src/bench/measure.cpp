#include "bench/measure.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>

#include <malloc.h>

namespace ebonyvale {

double nanosPerCall(std::size_t Calls, const std::function<void()> &Function) {
  std::array<double, 5> Batches{};
  for (double &Batch : Batches) {
    const auto Start = std::chrono::steady_clock::now();
    for (std::size_t Call = 0; Call < Calls; ++Call)
      Function();
    const auto Elapsed = std::chrono::steady_clock::now() - Start;
    Batch = std::chrono::duration<double, std::nano>(Elapsed).count() /
            static_cast<double>(Calls);
  }
  std::ranges::sort(Batches);
  return Batches[Batches.size() / 2];
}

double cpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  constexpr double NanosPerSecond = 1e9;
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / NanosPerSecond;
}

std::size_t heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

} // namespace ebonyvale

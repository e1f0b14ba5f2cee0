/// \file
/// Functions to measure time and memory.
#ifndef EBONYVALE_BENCH_MEASURE_H
#define EBONYVALE_BENCH_MEASURE_H

#include <cstddef>
#include <functional>

namespace ebonyvale {

/// Returns the time of one call of \p Function in nanoseconds: the median over
/// five batches of \p Calls calls each.
double nanosPerCall(std::size_t Calls, const std::function<void()> &Function);

/// Returns the processor time that this process has used, in seconds.
double cpuSeconds();

/// Returns the bytes allocated on the heap.
std::size_t heapBytes();

} // namespace ebonyvale

#endif

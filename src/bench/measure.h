/// \file
/// Small measuring tools.
#ifndef EBONYVALE_BENCH_MEASURE_H
#define EBONYVALE_BENCH_MEASURE_H

#include <cstddef>
#include <functional>

namespace ebonyvale {

/// Median time of one call of \p Work in nanoseconds, over several batches.
double nanosPerCall(std::size_t Calls, const std::function<void()> &Work);

/// Processor time of this process in seconds.
double processorSeconds();

/// Bytes on the heap that are in use.
std::size_t heapBytes();

} // namespace ebonyvale

#endif

/// \file
/// Measures the overhead of the router over direct calls of an engine.
#ifndef EBONYVALE_BENCH_PROXY_BENCH_H
#define EBONYVALE_BENCH_PROXY_BENCH_H

#include <ostream>

namespace ebonyvale {

/// Runs a router and a fake engine in separate threads, compares the latency of
/// direct calls with that of calls through the router, then measures the memory
/// of an open stream.
void runProxyBench(std::ostream &Out);

} // namespace ebonyvale

#endif

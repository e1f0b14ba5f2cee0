/// \file
/// What the router adds to a direct call of an engine.
#ifndef EBONYVALE_BENCH_PROXY_BENCH_H
#define EBONYVALE_BENCH_PROXY_BENCH_H

#include <ostream>

namespace ebonyvale {

/// Runs the caller path and a fake engine in threads of their own and compares
/// direct calls with calls through the router in one run; then counts memory
/// for each open stream.
void runProxyBench(std::ostream &Out);

} // namespace ebonyvale

#endif

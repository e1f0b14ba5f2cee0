/// \file
/// Compares ways to divide limits over a fleet.
#ifndef EBONYVALE_BENCH_LIMIT_BENCH_H
#define EBONYVALE_BENCH_LIMIT_BENCH_H

#include <ostream>

namespace ebonyvale {

/// Runs all cells with five fixed seeds and writes one table.
void runLimitBench(std::ostream &Out);

} // namespace ebonyvale

#endif

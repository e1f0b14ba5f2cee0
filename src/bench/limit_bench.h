/// \file
/// Compares methods to divide limits among the instances of a fleet.
#ifndef EBONYVALE_BENCH_LIMIT_BENCH_H
#define EBONYVALE_BENCH_LIMIT_BENCH_H

#include <ostream>

namespace ebonyvale {

/// Simulates all scenarios with each method and five fixed seeds, and writes
/// one table. Its column `cell` holds the name of the scenario.
void runLimitBench(std::ostream &Out);

} // namespace ebonyvale

#endif

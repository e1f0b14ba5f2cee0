/// \file
/// Benchmarks that show how time and memory grow with the amount of state.
#ifndef EBONYVALE_BENCH_DECISION_BENCH_H
#define EBONYVALE_BENCH_DECISION_BENCH_H

#include <ostream>

namespace ebonyvale {

/// Measures the time of a placement by engines, pieces and index entries, the
/// memory of an index entry, the time of an admission by teams, and the time to
/// parse and hash a prompt by its size.
void runDecisionBench(std::ostream &Out);

/// Measures time and memory of a configuration by keys and upstreams, the sizes
/// of the messages between instances, and the cost of connections between
/// instances. docs/CAPACITY.md is based on these figures.
void runCapacityBench(std::ostream &Out);

} // namespace ebonyvale

#endif
